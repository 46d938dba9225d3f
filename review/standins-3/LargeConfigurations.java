import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/** Grows the configuration by many routes, and then sends changes of it in quick succession. */
final class LargeConfigurations {
    private static final int GROWN_BY = 1_400;
    private static final int TIMES = 4;
    private static final long GAP_MS = 170;
    private static final double END_S = 100;

    public static void main(String[] args) {
        Rig.play(args, LargeConfigurations::run);
    }

    private static int run(Rig rig) throws Exception {
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            workers.add(rig.with(new Worker(rig, i, "pool", 16_000, 32_768, it -> 500)));
        }
        rig.with(new Cloud(rig, workers));
        rig.start(3, 2, 1, Map.of());
        if (rig.operate("POST", "/Config.Replace", Configuration.text(1, 1), 100).status() != 200) return 2;
        for (Worker worker : workers) worker.start();
        Thread.sleep(2_500);
        int routes = 1;
        long version = 1;
        if (Rig.TROUBLE) {
            for (int i = 0; i < TIMES; i++) {
                routes += GROWN_BY;
                version += 1;
                Rig.Answer answer = rig.operate("POST", "/Config.Replace", Configuration.text(version, routes), 20);
                rig.note("version " + version + " with " + routes + " routes -> " + answer.status());
            }
        }
        // At most eight orders are in progress at once.
        Semaphore free = new Semaphore(8);
        ExecutorService senders = Executors.newFixedThreadPool(8);
        Map<Integer, Integer> answers = new TreeMap<>();
        int sent = 0;
        Thread caller = new Thread(() -> handIn(rig));
        caller.setDaemon(true);
        caller.start();
        while (rig.seconds() < END_S) {
            free.acquire();
            version += 1;
            sent += 1;
            long own = version;
            int size = routes;
            senders.execute(() -> {
                try {
                    Rig.Answer answer = rig.operate("POST", "/Config.Replace", Configuration.text(own, size), 6);
                    synchronized (answers) {
                        answers.merge(answer.status(), 1, Integer::sum);
                    }
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                } finally {
                    free.release();
                }
            });
            for (Rig.Node node : rig.controls) node.restartIfEnded();
            Thread.sleep(Rig.TROUBLE ? GAP_MS : 2_000);
            synchronized (answers) {
                if (sent % 20 == 0) rig.note(sent + " changes sent, last answers by status: " + answers);
            }
        }
        senders.shutdown();
        senders.awaitTermination(8, TimeUnit.SECONDS);
        rig.note(sent + " changes sent, last answers by status: " + answers);
        return rig.isFault() ? 1 : 0;
    }

    /** Hands in a job every two seconds. */
    private static void handIn(Rig rig) {
        try {
            for (int i = 0; rig.seconds() < END_S; i++) {
                String id = String.format("%016x", 0xC000_0000_0000L + i);
                String job = "{\"spec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":100,\"mem_mb\":64,\"est_ms\":500}]}";
                rig.note("POST " + id + " -> " + rig.ask("POST", Configuration.prefix(0) + id, job, 1).status());
                Thread.sleep(2_000);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
