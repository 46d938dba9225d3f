import java.util.Random;

/** Configurations with one service, "pool". */
final class Configuration {
    private Configuration() { }

    /** Prefix of the route {@code number}. */
    static String prefix(int number) {
        return number == 0 ? "/first/" : "/" + word(number) + "/w" + number + "/";
    }

    /** Text of {@code version} with {@code routes} routes. */
    static String text(long version, int routes) {
        StringBuilder text = new StringBuilder("{\"version\":" + version + ",\"routes\":[");
        for (int i = 0; i < routes; i++) {
            if (i > 0) text.append(',');
            // A version changes time-outs.
            long timeout = i == 0 ? 3_000 : 3_000 + version;
            text.append("{\"name\":\"r-").append(word(i)).append(i).append("\",\"host\":\"").append(Rig.HOST)
                .append("\",\"prefix\":\"").append(prefix(i)).append("\",\"kind\":\"mutating\",\"timeout_ms\":")
                .append(timeout).append(",\"slo_ms\":600,\"priority\":1,\"service\":\"pool\",\"attempts\":4,")
                .append("\"stretch\":1.6}");
        }
        return text + "],\"services\":[{\"name\":\"pool\",\"health_path\":\"/healthz\",\"max_conns\":64,"
            + "\"protocol\":\"h1\",\"tls\":false,\"rejects_overload\":true,\"spare\":false}],\"limits\":{"
            + "\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    }

    private static String word(int seed) {
        return Integer.toString(new Random(seed).nextInt(1 << 30), 36);
    }
}
