import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** The platform's list of machines. No case orders upkeep, and moves are refused as busy. */
final class PlatformStandIn {

    private final HttpStandIn server = new HttpStandIn();
    private final List<ExecutorStandIn> machines = new ArrayList<>();

    PlatformStandIn() throws IOException {
        server.on("/-/machines", r -> list());
        server.on("/-/machine-move", r -> busy());
        server.on("/-/machine-upkeep", r -> busy());
        server.open();
    }

    int port() {
        return server.port();
    }

    synchronized void add(ExecutorStandIn machine) {
        machines.add(machine);
    }

    private synchronized HttpStandIn.Answer list() {
        ObjectNode body = Json.object();
        ArrayNode list = body.putArray("machines");
        machines.forEach(m -> list.add(m.listed()));
        body.putNull("next_page_token");
        return new HttpStandIn.Answer(200, body);
    }

    private static HttpStandIn.Answer busy() {
        return new HttpStandIn.Answer(409, Json.object().put("reason", "busy"));
    }
}
