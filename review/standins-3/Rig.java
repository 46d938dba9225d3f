import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Starts the two programs of the deploy file as processes on loopback addresses, and keeps the record of a case. */
final class Rig implements AutoCloseable {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static final String HOST = "queues.example";
    private static final long LONGEST_MS = 117_000;

    static {
        // Read when the first client is created.
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    }

    private final long startedAt = System.nanoTime();
    private final PrintWriter record;
    private final Path folder;
    private final String network;
    private final List<AutoCloseable> parts = new ArrayList<>();
    private final HttpClient client =
        HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofSeconds(1)).build();
    final List<Node> controls = new ArrayList<>();
    final List<Node> entries = new ArrayList<>();
    final int controlPort;
    final int frontPort;
    final int readyPort;
    final int peerPort;
    final int cloudPort;

    Rig(Path caseFolder) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
        folder = Files.createTempDirectory("case");
        long pid = ProcessHandle.current().pid();
        network = "127." + (32 + pid % 90) + "." + (1 + pid / 90 % 250);
        controlPort = freePort();
        frontPort = freePort();
        readyPort = freePort();
        peerPort = freePort();
        cloudPort = freePort();
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    }

    /** A case; returns 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
    interface Scenario {
        int play(Rig rig) throws Exception;
    }

    /** Plays {@code scenario} with a record in the folder that the only argument names, and exits with its result. */
    static void play(String[] args, Scenario scenario) {
        int exit = 2;
        try (Rig rig = new Rig(Path.of(args[0]))) {
            Thread watch = new Thread(() -> rig.endLate());
            watch.setDaemon(true);
            watch.start();
            exit = scenario.play(rig);
            rig.note("exit " + exit);
        } catch (Throwable e) {
            e.printStackTrace();
            exit = 2;
        }
        System.exit(exit);
    }

    private void endLate() {
        try {
            Thread.sleep(LONGEST_MS);
        } catch (InterruptedException e) {
            return;
        }
        note("exit 2, it took too long");
        System.exit(2);
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    String address(int host) {
        return network + "." + host;
    }

    double seconds() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    synchronized void note(String text) {
        record.printf("%7.3f %s%n", seconds(), text);
    }

    <T extends AutoCloseable> T with(T part) {
        parts.add(part);
        return part;
    }

    /** Starts control processes at the hosts 11, 12, ... and entry processes at 101, 102, ... */
    void start(int controlCount, int entryCount, int losses, Map<String, String> extra) throws IOException {
        String seeds = Stream.iterate(0, i -> i + 1).limit(Math.min(3, controlCount))
            .map(i -> address(11 + i) + ":" + controlPort).collect(Collectors.joining(","));
        for (int i = 0; i < controlCount; i++) controls.add(new Node("control", i, 11 + i, seeds, losses, extra));
        for (int i = 0; i < entryCount; i++) entries.add(new Node("entry", i, 101 + i, seeds, losses, extra));
        for (Node node : controls) node.start();
        for (Node node : entries) node.start();
    }

    /** Response of a call, with status 0 if there was none. */
    record Answer(int status, String body) { }

    Answer call(String method, String address, String path, String body, int timeoutMs) {
        HttpRequest.Builder builder = HttpRequest.newBuilder(URI.create("http://" + address + path))
            .timeout(Duration.ofMillis(timeoutMs))
            .header("content-type", "application/json")
            .method(method, body == null ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofString(body));
        boolean isCaller = address.endsWith(":" + frontPort);
        if (isCaller) builder.header("host", HOST).header("x-deadline-ms", String.valueOf(timeoutMs));
        try {
            HttpResponse<String> response = client.send(builder.build(), HttpResponse.BodyHandlers.ofString());
            return new Answer(response.statusCode(), response.body());
        } catch (IOException e) {
            return new Answer(0, e.toString());
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Calls the entry processes in turn until one answers with something other than 0, 408, 429 and 5xx. */
    Answer ask(String method, String path, String body, int tries) throws InterruptedException {
        Answer answer = new Answer(0, "");
        for (int i = 0; i < tries; i++) {
            Node entry = entries.get(i % entries.size());
            answer = call(method, entry.ip + ":" + frontPort, path, body, 3000);
            boolean isFinal = answer.status != 0 && answer.status != 408 && answer.status != 429 && answer.status < 500;
            if (isFinal) return answer;
            Thread.sleep(200);
        }
        return answer;
    }

    /** Sends an order of the operator to the control processes in turn until one acknowledges it. */
    Answer operate(String method, String path, String body, int tries) throws InterruptedException {
        Answer answer = new Answer(0, "");
        for (int i = 0; i < tries; i++) {
            Node control = controls.get(i % controls.size());
            answer = call(method, control.ip + ":" + controlPort, path, body, 1000);
            if (answer.status >= 200 && answer.status < 300) return answer;
            Thread.sleep(200);
        }
        return answer;
    }

    /** Whether processes have ended by themselves three times, on half of the control machines or more. */
    boolean isFault() {
        for (Node node : controls) note(node.name + " has ended by itself " + node.ends() + " times");
        for (Node node : entries) note(node.name + " has ended by itself " + node.ends() + " times");
        long machines = controls.stream().filter(it -> it.ends() > 0).count();
        int ends = controls.stream().mapToInt(Node::ends).sum();
        return ends >= 3 && machines * 2 >= controls.size();
    }

    void endProcesses() {
        Stream.concat(controls.stream(), entries.stream()).forEach(Node::end);
    }

    @Override
    public void close() throws Exception {
        for (AutoCloseable part : parts) part.close();
        endProcesses();
        record.close();
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        }
    }

    /** One process of the system. */
    final class Node {
        final String role;
        final String name;
        final String ip;
        private final Path settings;
        private final Path log;
        private Process process;
        private volatile boolean isEnded;
        private volatile int ends;

        Node(String role, int number, int host, String seeds, int losses, Map<String, String> extra) throws IOException {
            this.role = role;
            name = role + "-" + (number + 1);
            ip = address(host);
            settings = folder.resolve(name + ".conf");
            log = folder.resolve(name + ".log");
            String zone = "zone-" + (char) ('a' + number % 3);
            List<String> lines = new ArrayList<>(List.of(
                "node=" + name, "role=" + role, "class=" + (role.equals("entry") ? "front" : "core"),
                "ip=" + ip, "zone=" + zone, "region=region", "port_range=" + peerPort + "," + (peerPort + 15),
                "seeds=" + seeds, "bootstrap=true", "limits.memory_mb=430", "limits.max_fds=4096",
                "discovery=registry", "entry=vip", "heartbeat_ms=1500",
                "contracts=base,drain,config,cost,recover,sched,advice,upkeep,sharing",
                "tolerate.machines=" + losses, "bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.drain_ms=2000",
                "bounds.grace_s=6", "bounds.hold_max_ms=6000", "bounds.stop_ms=900", "bounds.gang_ms=3000",
                "bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.early_ms=250", "bounds.finish_s=14",
                "bounds.status_s=120", "bounds.far_x=2", "bounds.save_s=0.5", "bounds.restore_ms=100",
                "bounds.notice_ms=4500", "bounds.move_s=1.5", "bounds.upkeep_s=2", "bounds.require_fence=false",
                "bounds.lease_ms=3000", "bounds.pace_ms=100", "config_mode=highest", "orders=rpc",
                "cloud.address=" + address(200) + ":" + cloudPort));
            if (role.equals("entry")) {
                lines.add("listen.front=" + ip + ":" + frontPort);
                lines.add("listen.ready=" + ip + ":" + readyPort);
            } else {
                lines.add("listen.control=" + ip + ":" + controlPort);
                lines.add("data_dir=" + folder.resolve(name + ".data"));
            }
            extra.forEach((key, value) -> lines.add(key + "=" + value));
            Files.write(settings, lines);
        }

        void start() throws IOException {
            ProcessBuilder builder = new ProcessBuilder(command(role));
            Map<String, String> environment = builder.environment();
            environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            environment.put("AUBURNSTREAM_CONFIG", settings.toString());
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            isEnded = false;
            process = builder.start();
            note("started " + name + " at " + ip);
            Process started = process;
            started.onExit().thenAccept(it -> {
                if (isEnded || it != process) return;
                ends += 1;
                note(name + " ended by itself with exit code " + it.exitValue());
            });
        }

        boolean isAlive() {
            return process.isAlive();
        }

        /** Number of times that the process has ended by itself. */
        int ends() {
            return ends;
        }

        void signal(String signal) throws IOException, InterruptedException {
            note("signal " + signal + " to " + name);
            if (signal.equals("KILL")) isEnded = true;
            new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
        }

        void kill() throws IOException, InterruptedException {
            signal("KILL");
            process.waitFor();
        }

        /** Starts the process again if it has ended, as the platform does. */
        void restartIfEnded() throws IOException {
            if (!process.isAlive()) start();
        }

        /** Lines of the process's log that contain {@code text}. */
        List<String> logged(String text) throws IOException {
            try (Stream<String> lines = Files.lines(log, StandardCharsets.ISO_8859_1)) {
                return lines.filter(it -> it.contains(text)).collect(Collectors.toList());
            }
        }

        void end() {
            isEnded = true;
            if (process != null) process.destroyForcibly();
        }
    }

    /** Words of the run line of {@code role} in the deploy file. */
    private static List<String> command(String role) throws IOException {
        String text = Files.readString(Path.of("deploy/system.toml"));
        Matcher matcher = Pattern.compile("\\[roles\\." + role + "]\\s+run = \"([^\"]+)\"").matcher(text);
        if (!matcher.find()) throw new IOException("the deploy file has no role " + role);
        return Arrays.asList(matcher.group(1).split(" "));
    }

    /** HTTP server of a stand-in; a handler that returns null sends no answer and closes the connection. */
    static HttpServer serve(String ip, int port, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(ip, port), 64);
        server.setExecutor(Executors.newCachedThreadPool(run -> {
            Thread thread = new Thread(run);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", exchange -> {
            try (exchange) {
                String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
                Answer answer = handler.handle(exchange, body);
                if (answer == null) return;
                byte[] bytes = answer.body.getBytes(StandardCharsets.UTF_8);
                exchange.getResponseHeaders().set("content-type", "application/json");
                exchange.sendResponseHeaders(answer.status, bytes.length);
                exchange.getResponseBody().write(bytes);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        server.start();
        return server;
    }

    interface Handler {
        Answer handle(HttpExchange exchange, String body) throws IOException, InterruptedException;
    }

    /** Value of the field {@code name} in a flat JSON object, without quotes, or null. */
    static String field(String json, String name) {
        Matcher matcher = Pattern.compile("\"" + name + "\"\\s*:\\s*(\"([^\"]*)\"|[^,}\\]]+)").matcher(json);
        if (!matcher.find()) return null;
        return matcher.group(2) != null ? matcher.group(2) : matcher.group(1).trim();
    }

    static long number(String json, String name, long otherwise) {
        String text = field(json, name);
        return text == null ? otherwise : Long.parseLong(text);
    }
}
