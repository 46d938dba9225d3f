import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;

/** A worker that follows the pages: fences, leases, room, ends in order, stops that bar lower runs. */
class Worker implements AutoCloseable {
    static final long LASTS = Long.MAX_VALUE / 4;
    private static final long HOLD_MAX_MS = 6_000;

    final Rig rig;
    volatile String id;
    final String service;
    final String machine;
    private final String kind;
    final String ip;
    final int port;
    private final long cpu;
    private final long memory;

    /** Duration of a task by its name, in ms. */
    private final ToLongFunction<String> durations;
    private HttpServer server;
    private Thread beats;
    private volatile boolean isUp;
    private volatile int life;

    // One life.
    private long bornMs;
    private long bornNanos;
    private long fence;
    private long until;
    private long seq;
    private long endCount;
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final List<String[]> ended = new ArrayList<>();
    private final Map<String, Long> barred = new HashMap<>();
    private String beatAddress;

    Worker(Rig rig, int number, String service, long cpu, long memory, ToLongFunction<String> durations)
        throws IOException {
        this(rig, number, service, "a", cpu, memory, durations);
    }

    Worker(
        Rig rig, int number, String service, String kind, long cpu, long memory, ToLongFunction<String> durations)
        throws IOException {
        this.kind = kind;
        this.rig = rig;
        this.service = service;
        this.cpu = cpu;
        this.memory = memory;
        this.durations = durations;
        id = "i-worker" + number;
        machine = "m-" + number;
        ip = rig.address(20 + number);
        port = Rig.freePort();
    }

    void start() throws IOException {
        start(0);
    }

    /** Begins a life that knows nothing of those before; its first heartbeat follows after {@code beatMs}. */
    synchronized void start(long beatMs) throws IOException {
        life += 1;
        bornMs = System.currentTimeMillis();
        bornNanos = System.nanoTime();
        fence = 0;
        until = 0;
        seq = 0;
        endCount = 0;
        running.clear();
        ended.clear();
        barred.clear();
        beatAddress = null;
        isUp = true;
        rig.note(id + " begins life " + life + ", born " + bornMs);
        server = Rig.serve(ip, port, this::handle);
        int own = life;
        beats = new Thread(() -> {
            pause(beatMs);
            beat(own);
        });
        beats.setDaemon(true);
        beats.start();
        Thread ends = new Thread(() -> {
            while (isUp && life == own) {
                settleNow();
                pause(20);
            }
        });
        ends.setDaemon(true);
        ends.start();
    }

    private synchronized void settleNow() {
        if (isUp) settle();
    }

    /** Begins a life under another id, as after a move or an upkeep. */
    synchronized void startAs(String other) throws IOException {
        id = other;
        start();
    }

    /** Ends the life without a word. */
    synchronized void crash() {
        rig.note(id + " crashes with " + running.keySet());
        isUp = false;
        for (Run run : running.values()) ran(run, "crashed");
        running.clear();
        notifyAll();
        server.stop(0);
    }

    @Override
    public void close() {
        isUp = false;
        server.stop(0);
    }

    boolean isUp() {
        return isUp;
    }

    long clock() {
        return (System.nanoTime() - bornNanos) / 1_000_000;
    }

    private void beat(int own) {
        int next = own;
        while (isUp && life == own) {
            String body;
            synchronized (this) {
                seq += 1;
                body = "{\"service\":\"" + service + "\",\"address\":\"" + ip + ":" + port + "\",\"zone\":\"zone-a\","
                    + "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,\"machine\":\"" + machine
                    + "\",\"capacity\":{\"cpu\":" + cpu + ",\"mem_mb\":" + memory + ",\"gpu\":0},"
                    + "\"labels\":[\"" + kind + "\",\"r1-1\"],\"clock_ms\":" + clock() + ",\"born\":" + bornMs + ",\"seq\":" + seq + "}";
            }
            for (int i = 0; i < rig.controls.size() && isUp; i++) {
                String address = beatAddress;
                if (address == null) address = rig.controls.get(next++ % rig.controls.size()).ip + ":" + rig.controlPort;
                if (!mayBeat()) break;
                Rig.Answer answer = rig.call("POST", address, "/Instances.Heartbeat/" + id, body, 1000);
                if (answer.status() / 100 == 2) {
                    String named = Rig.field(answer.body(), "beat_addr");
                    if (named != null && !named.isEmpty()) beatAddress = named;
                    break;
                }
                beatAddress = null;
            }
            pause(1500);
        }
    }

    /** Whether heartbeats leave the worker. */
    boolean mayBeat() {
        return true;
    }

    /** Whether a call from the system reaches the worker now; otherwise its connection ends without an answer. */
    boolean isReached() {
        return true;
    }

    static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Rig.Answer handle(HttpExchange exchange, String body) throws IOException, InterruptedException {
        if (!isReached()) return null;
        String path = exchange.getRequestURI().getPath();
        String expected = exchange.getRequestHeaders().getFirst("X-Expect-Instance");
        if (expected != null && !expected.equals(id)) return new Rig.Answer(421, "{}");
        return answer(path, body);
    }

    /** Carries out one call and returns its answer, or null if the answer is lost. */
    Rig.Answer answer(String path, String body) throws InterruptedException {
        return switch (path) {
            case "/run-start" -> startRun(body);
            case "/run-stop" -> stopRun(body);
            case "/hold" -> hold(body);
            case "/pace" -> new Rig.Answer(200, "{\"clock_ms\":" + clock() + "}");
            default -> new Rig.Answer(200, "{}");
        };
    }

    synchronized Rig.Answer startRun(String body) {
        settle();
        String task = Rig.field(body, "task");
        long number = Rig.number(body, "run", 0);
        if (isFenced(body)) return refuse("fence");
        extend(body);
        Run known = running.get(task);
        if (known != null && known.number == number) return done();
        if (known != null || number <= barred.getOrDefault(task, 0L)) return refuse("old");
        if (Rig.number(body, "until_ms", 0) <= clock()) return refuse("late");
        Run run = new Run(task, number, clock(), durations.applyAsLong(task));
        running.put(task, run);
        started(run);
        notifyAll();
        return done();
    }

    synchronized Rig.Answer stopRun(String body) {
        settle();
        if (isFenced(body)) return refuse("fence");
        String task = Rig.field(body, "task");
        long number = Rig.number(body, "run", 0);
        barred.merge(task, number, Math::max);
        Run run = running.get(task);
        if (run != null && run.number <= number) end(run, "stopped");
        return done();
    }

    synchronized Rig.Answer hold(String body) throws InterruptedException {
        settle();
        if (isFenced(body)) return refuse("fence");
        extend(body);
        long seen = Rig.number(body, "last_seen", 0);
        ended.removeIf(it -> Long.parseLong(it[0]) <= seen);
        long waitUntil = clock() + Rig.number(body, "wait_ms", 0);
        int own = life;
        while (isUp && life == own && ended.isEmpty() && clock() < waitUntil) {
            wait(Math.max(1, Math.min(20, waitUntil - clock())));
            settle();
        }
        if (!isUp || life != own) return null;
        String runs = running.values().stream()
            .map(it -> "[\"" + it.task + "\"," + it.number + ",\"\"," + it.percent(clock()) + ",0]")
            .collect(Collectors.joining(","));
        String over = ended.stream().limit(500)
            .map(it -> "[" + it[0] + ",\"" + it[1] + "\"," + it[2] + ",\"" + it[3] + "\",\"\"]")
            .collect(Collectors.joining(","));
        return new Rig.Answer(
            200,
            "{\"clock_ms\":" + clock() + ",\"born\":" + bornMs + ",\"running\":[" + runs + "],\"ended\":[" + over + "]}");
    }

    private boolean isFenced(String body) {
        long given = Rig.number(body, "fence", 0);
        if (given < fence) return true;
        fence = given;
        return false;
    }

    /** The lease never shortens and is cut to its maximum. */
    private void extend(String body) {
        until = Math.max(until, Math.min(Rig.number(body, "until_ms", 0), clock() + HOLD_MAX_MS));
    }

    /** Ends the runs that are done or whose lease has run out. */
    private void settle() {
        for (Run run : new ArrayList<>(running.values())) {
            if (clock() >= run.startedMs + run.durationMs) end(run, "done");
            else if (clock() > until) end(run, "lapsed");
        }
    }

    private void end(Run run, String how) {
        running.remove(run.task);
        barred.merge(run.task, run.number, Math::max);
        endCount += 1;
        ended.add(new String[] {String.valueOf(endCount), run.task, String.valueOf(run.number), how});
        ran(run, how);
        notifyAll();
    }

    private Rig.Answer done() {
        return new Rig.Answer(200, "{\"clock_ms\":" + clock() + ",\"born\":" + bornMs + "}");
    }

    private Rig.Answer refuse(String reason) {
        return new Rig.Answer(
            409,
            "{\"clock_ms\":" + clock() + ",\"born\":" + bornMs + ",\"reason\":\"" + reason + "\"}");
    }

    /** Called at the start of a run. */
    void started(Run run) {
        rig.note(id + " starts " + run);
    }

    /** Called at the end of a run. */
    void ran(Run run, String how) {
        rig.note(id + " ends " + run + " " + how);
    }

    /** A run in progress. */
    static final class Run {
        final String task;
        final long number;
        final long startedMs;
        final long durationMs;

        Run(String task, long number, long startedMs, long durationMs) {
            this.task = task;
            this.number = number;
            this.startedMs = startedMs;
            this.durationMs = durationMs;
        }

        long percent(long clockMs) {
            if (durationMs >= LASTS) return clockMs - startedMs > 300 ? 100 : 0;
            return Math.min(99, (clockMs - startedMs) * 100 / Math.max(1, durationMs));
        }

        @Override
        public String toString() {
            return task + "#" + number;
        }
    }
}
