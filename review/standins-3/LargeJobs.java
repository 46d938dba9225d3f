import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Hands in jobs of two steps, the second of which is wide, and asks whether the group lives and knows them. */
final class LargeJobs {
    private static final int JOBS = 600;
    private static final int WIDTH = Rig.TROUBLE ? 2_000 : 2;
    private static final int GAP_MS = 30;
    private static final double HANDED_IN_S = 45;
    private static final double WATCHED_S = 80;

    public static void main(String[] args) {
        Rig.play(args, LargeJobs::run);
    }

    private static int run(Rig rig) throws Exception {
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < 6; i++) workers.add(rig.with(new QuietWorker(rig, i)));
        rig.with(new Cloud(rig, workers));
        rig.start(3, 2, 1, Map.of());
        if (rig.operate("POST", "/Config.Replace", Configuration.text(1, 1), 100).status() != 200) return 2;
        for (Worker worker : workers) worker.start();
        Thread.sleep(2_500);
        List<String> accepted = new ArrayList<>();
        Map<Integer, Integer> answers = new TreeMap<>();
        for (int i = 0; i < JOBS && rig.seconds() < HANDED_IN_S; i++) {
            String id = String.format("%016x", 0xA000_0000_0000L + i);
            String job = "{\"spec\":\"large " + i + "\",\"steps\":[{\"count\":1,\"cpu\":100,\"mem_mb\":64,\"est_ms\":60000},"
                + "{\"count\":" + WIDTH + ",\"cpu\":100,\"mem_mb\":64,\"est_ms\":50,\"deps\":[0]}]}";
            Rig.Answer answer = rig.ask("POST", Configuration.prefix(0) + id, job, 1);
            answers.merge(answer.status(), 1, Integer::sum);
            if (answer.status() == 200) accepted.add(id);
            if (answer.status() != 200 || i % 50 == 0) rig.note("POST " + id + " -> " + answer.status());
            for (Rig.Node node : rig.controls) node.restartIfEnded();
            Thread.sleep(GAP_MS);
        }
        rig.note("handed in with a step of " + WIDTH + " tasks, answers by status: " + answers);
        if (accepted.isEmpty()) return 2;
        while (rig.seconds() < WATCHED_S) {
            Thread.sleep(500);
            for (Rig.Node node : rig.controls) node.restartIfEnded();
        }
        int silent = 0;
        for (int i = 0; i < 3; i++) {
            String id = accepted.get(i);
            Rig.Answer answer = rig.ask("GET", Configuration.prefix(0) + id, null, 3);
            rig.note("GET " + id + " -> " + answer.status() + " " + answer.body());
            if (answer.status() != 200) silent++;
            for (Rig.Node node : rig.controls) node.restartIfEnded();
        }
        rig.note("accepted " + accepted.size() + ", of 3 asked for without a state " + silent);
        return rig.isFault() ? 1 : 0;
    }

    /** A worker whose tasks of the first step take 60 s and whose other tasks take 50 ms. */
    private static final class QuietWorker extends Worker {
        QuietWorker(Rig rig, int number) throws java.io.IOException {
            super(rig, number, "pool", 16_000, 32_768, it -> it.contains(".0.0.") ? 60_000 : 50);
        }

        @Override
        void started(Run run) {
            if (run.task.endsWith(".0.0.0") && run.task.charAt(15) == '0') super.started(run);
        }

        @Override
        void ran(Run run, String how) {
            if (run.task.endsWith(".0.0.0") && run.task.charAt(15) == '0') super.ran(run, how);
        }
    }
}
