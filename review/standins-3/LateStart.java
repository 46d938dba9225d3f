import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A worker leaves a start unanswered that is carried out late; meanwhile it crashes and starts again under its id.
 * Watches whether two runs of one task are in progress at the same time on workers that are up.
 */
final class LateStart {
    private static final long LATE_MS = 6_000;
    private static final long CRASH_AT_MS = 2_000;
    private static final long BACK_AT_MS = 5_000;
    private static final long TASK_MS = 9_000;
    private static final String OTHER = "0000d00000000002";

    public static void main(String[] args) {
        Rig.play(args, rig -> new LateStart(rig).run());
    }

    private final Rig rig;
    private final List<LateWorker> workers = new ArrayList<>();
    private final AtomicBoolean isUsed = new AtomicBoolean(!Rig.TROUBLE);
    private volatile boolean isBroken;

    /** Worker of the run in progress of each task; all workers in it are up. */
    private final Map<String, String> runs = new ConcurrentHashMap<>();

    private LateStart(Rig rig) {
        this.rig = rig;
    }

    private int run() throws Exception {
        for (int i = 0; i < 4; i++) workers.add(rig.with(new LateWorker(i)));
        rig.with(new Cloud(rig, workers));
        rig.start(3, 2, 1, Map.of());
        if (rig.operate("POST", "/Config.Replace", Configuration.text(1, 1), 100).status() != 200) return 2;
        for (Worker worker : workers) {
            worker.start();
            Thread.sleep(300);
        }
        Thread.sleep(4_000);
        String id = "0000d00000000001";
        String job = "{\"spec\":\"once\",\"steps\":[{\"count\":1,\"cpu\":2000,\"mem_mb\":1024,\"est_ms\":" + TASK_MS + "}]}";
        Rig.Answer accepted = rig.ask("POST", Configuration.prefix(0) + id, job, 10);
        rig.note("POST " + id + " -> " + accepted.status());
        if (accepted.status() != 200) return 2;
        Thread.sleep(200);
        // A new task goes to the fullest worker with room, so that the next run does not start on the same worker.
        String other = "{\"spec\":\"other\",\"steps\":[{\"count\":3,\"cpu\":4000,\"mem_mb\":1024,\"est_ms\":20000,"
            + "\"required_label\":\"b\",\"max_per_server\":1}]}";
        rig.note("POST " + OTHER + " -> " + rig.ask("POST", Configuration.prefix(0) + OTHER, other, 10).status());
        for (int i = 0; i < 12; i++) {
            Thread.sleep(2_000);
            Rig.Answer answer = rig.ask("GET", Configuration.prefix(0) + id, null, 3);
            rig.note("GET " + id + " -> " + answer.status() + " " + answer.body());
            if (answer.body().contains("complete")) break;
        }
        if (!isUsed.get()) return 2;
        return isBroken ? 1 : 0;
    }

    /** A worker that leaves the first start of the case unanswered and carries it out later. */
    private final class LateWorker extends Worker {
        LateWorker(int number) throws IOException {
            super(LateStart.this.rig, number, "pool", number == 0 ? "a" : "b", 16_000, 32_768, it -> it.startsWith(OTHER) ? 20_000 : TASK_MS);
        }

        @Override
        Rig.Answer answer(String path, String body) throws InterruptedException {
            if (!path.equals("/run-start") || isUsed.getAndSet(true)) return super.answer(path, body);
            rig.note(id + " leaves the start of " + Rig.field(body, "task") + "#" + Rig.field(body, "run") + " unanswered");
            Thread fate = new Thread(() -> live(body));
            fate.setDaemon(true);
            fate.start();
            Thread.sleep(LATE_MS);
            return null;
        }

        private void live(String body) {
            try {
                pause(CRASH_AT_MS);
                crash();
                pause(BACK_AT_MS - CRASH_AT_MS);
                // The first heartbeat follows within one interval.
                start(1_400);
                pause(LATE_MS - BACK_AT_MS);
                rig.note(id + " carries out the late start");
                rig.note(id + " -> " + startRun(body).body());
            } catch (IOException e) {
                rig.note(e.toString());
            }
        }

        @Override
        void started(Run run) {
            super.started(run);
            String other = runs.put(run.task, id);
            if (other == null || other.equals(id)) return;
            isBroken = true;
            rig.note("TWICE: " + run.task + " runs on " + other + " and on " + id);
        }

        @Override
        void ran(Run run, String how) {
            super.ran(run, how);
            runs.remove(run.task, id);
        }
    }
}
