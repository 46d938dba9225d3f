import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.List;
import java.util.stream.Collectors;

/** The platform's service of machines: lists them all as up, and refuses moves and upkeep as busy. */
class Cloud implements AutoCloseable {
    private final HttpServer server;

    Cloud(Rig rig, List<? extends Worker> workers) throws IOException {
        server = Rig.serve(rig.address(200), rig.cloudPort, (exchange, body) -> {
            if (!exchange.getRequestURI().getPath().equals("/machines")) {
                return new Rig.Answer(409, "{\"reason\":\"busy\"}");
            }
            String machines = workers.stream().map(it -> "{\"machine\":\"" + it.machine + "\",\"pool\":\"" + it.service
                + "\",\"state\":\"" + (it.isUp() ? "up" : "down") + "\",\"zone\":\"zone-a\",\"labels\":[\"a\",\"r1-1\"],"
                + "\"capacity\":{\"cpu\":16000,\"mem_mb\":32768,\"gpu\":0},\"id\":\"" + it.id + "\"}")
                .collect(Collectors.joining(","));
            return new Rig.Answer(200, "{\"machines\":[" + machines + "],\"next_token\":\"\"}");
        });
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
