import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The platform's list of machines and its orders for moves and upkeeps.
 *
 * <p>While it is slow an order takes a time, and is carried out at the end of it.
 */
final class PlatformStandIn {

    private static final int USUAL_MILLIS = 10;

    private final Record record;
    private final HttpStandIn server = new HttpStandIn();
    private final Map<String, ExecutorStandIn> machines = new java.util.TreeMap<>();
    private final Map<Long, Wave> waves = new HashMap<>();
    private final List<String> brokenCaps = new ArrayList<>();
    private final List<Order> orders = new ArrayList<>();
    private final Random random = new Random(7);
    private Consumer<String> onUpkeepOrder = holder -> {};
    private int leastOrderMillis = USUAL_MILLIS;
    private int mostOrderMillis = USUAL_MILLIS;

    /** A wave that the operator has ordered. */
    private record Wave(Set<String> machines, int cap, Set<String> begun) {}

    PlatformStandIn(Record record) throws IOException {
        this.record = record;
        server.on("/-/machines", r -> list());
        server.on("/-/machine-move", this::move);
        server.on("/-/machine-upkeep", this::upkeep);
        server.open();
    }

    int port() {
        return server.port();
    }

    synchronized void add(ExecutorStandIn machine) {
        machines.put(machine.machine(), machine);
    }

    /** Lets each order take a random time between two bounds, for a time. */
    synchronized void setSlowOrders(int least, int most, long forMillis) {
        leastOrderMillis = least;
        mostOrderMillis = most;
        record.line("orders take %d ms to %d ms", least, most);
        Thread.ofVirtual()
                .start(
                        () -> {
                            HttpStandIn.pause(forMillis);
                            endSlowOrders();
                        });
    }

    private synchronized void endSlowOrders() {
        leastOrderMillis = USUAL_MILLIS;
        mostOrderMillis = USUAL_MILLIS;
        record.line("orders take %d ms again", USUAL_MILLIS);
    }

    synchronized void addWave(long number, Set<String> names, int cap) {
        waves.put(number, new Wave(names, cap, new java.util.TreeSet<>()));
    }

    /** Sets what is told of each order for an upkeep as it arrives, by the name of the holder. */
    void setOnUpkeepOrder(Consumer<String> listener) {
        onUpkeepOrder = listener;
    }

    /** Returns the upkeeps that began while as many machines were down as the cap allows. */
    synchronized List<String> brokenCaps() {
        return List.copyOf(brokenCaps);
    }

    synchronized int begunCount(long wave) {
        return waves.get(wave).begun().size();
    }

    private synchronized int orderMillis() {
        return leastOrderMillis + random.nextInt(mostOrderMillis - leastOrderMillis + 1);
    }

    private HttpStandIn.Answer list() {
        HttpStandIn.pause(USUAL_MILLIS);
        synchronized (this) {
            ObjectNode body = Json.object();
            ArrayNode list = body.putArray("machines");
            machines.values().forEach(m -> list.add(m.listed()));
            body.putNull("next_page_token");
            return new HttpStandIn.Answer(200, body);
        }
    }

    private static HttpStandIn.Answer refusal(String reason) {
        return new HttpStandIn.Answer(409, Json.object().put("reason", reason));
    }

    /** An order for a machine as it has arrived. */
    record Order(String machine, String holder, long fence, long at) {}

    /** Returns the orders for moves and upkeeps, oldest first. */
    synchronized List<Order> orders() {
        return List.copyOf(orders);
    }

    private synchronized void note(HttpStandIn.Request request, String name) {
        long fence = Long.parseLong(request.header("Chervillift-Fencing-Token"));
        String holder = request.header("Chervillift-Duty-Holder");
        orders.add(new Order(name, holder, fence, Clock.now()));
    }

    private HttpStandIn.Answer move(HttpStandIn.Request request) {
        JsonNode body = Json.parse(request.body());
        String name = body.path("machine").asText();
        String pool = body.path("pool").asText();
        note(request, name);
        HttpStandIn.pause(orderMillis());
        HttpStandIn.Answer answer = carryOutMove(name, pool);
        record.line(
                "order: move of %s to %s by %s fence %s -> %d %s",
                name,
                pool,
                request.header("Chervillift-Duty-Holder"),
                request.header("Chervillift-Fencing-Token"),
                answer.status(),
                answer.body());
        return answer;
    }

    private synchronized HttpStandIn.Answer carryOutMove(String name, String pool) {
        ExecutorStandIn machine = machines.get(name);
        if (machine == null) {
            return new HttpStandIn.Answer(400, Json.object());
        }
        if (machine.pool().equals(pool)) {
            return new HttpStandIn.Answer(200, Json.object());
        }
        if (!machine.isUp()) {
            return refusal("busy");
        }
        machine.beginMove(pool);
        return new HttpStandIn.Answer(200, Json.object());
    }

    private HttpStandIn.Answer upkeep(HttpStandIn.Request request) {
        JsonNode body = Json.parse(request.body());
        String name = body.path("machine").asText();
        String holder = request.header("Chervillift-Duty-Holder");
        String fence = request.header("Chervillift-Fencing-Token");
        int millis = orderMillis();
        note(request, name);
        record.line("order: upkeep of %s by %s fence %s, takes %d ms", name, holder, fence, millis);
        onUpkeepOrder.accept(holder);
        HttpStandIn.pause(millis);
        HttpStandIn.Answer answer = carryOut(name, body.path("wave").asLong());
        record.line(
                "order: upkeep of %s fence %s -> %d %s", name, fence, answer.status(), answer.body());
        return answer;
    }

    private synchronized HttpStandIn.Answer carryOut(String name, long number) {
        Wave wave = waves.get(number);
        ExecutorStandIn machine = machines.get(name);
        if (machine == null) {
            return new HttpStandIn.Answer(400, Json.object());
        }
        if (wave == null || !wave.machines().contains(name)) {
            return refusal("wave");
        }
        if (wave.begun().contains(name)) {
            return new HttpStandIn.Answer(200, Json.object());
        }
        if (!machine.isUp()) {
            return refusal("busy");
        }
        List<String> down =
                wave.machines().stream().filter(m -> machines.get(m).isInUpkeep()).toList();
        if (down.size() >= wave.cap()) {
            brokenCaps.add(name + " beside " + down);
            record.line("CAP BROKEN: upkeep of %s begins while %s are down", name, down);
        }
        wave.begun().add(name);
        machine.beginUpkeep();
        return new HttpStandIn.Answer(200, Json.object());
    }
}
