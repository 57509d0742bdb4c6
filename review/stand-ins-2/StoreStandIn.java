import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.TreeMap;

/** The platform's metadata store: rows, transactions and the feed of changes. */
final class StoreStandIn {

    private static final int MAX_ROWS_PER_PAGE = 500;
    private static final int MAX_ENTRIES = 100;
    private static final int MAX_CALL_BYTES = 1_000_000;
    private static final int MAX_ROW_BYTES = 65_536;
    private static final long CALL_MILLIS = 4;

    private final TreeMap<RowId, Row> rows = new TreeMap<>();
    private final List<Row> history = new ArrayList<>();
    private long version;
    private volatile boolean down;

    /** The address of a row. */
    record RowId(String table, String part, String key) implements Comparable<RowId> {
        @Override
        public int compareTo(RowId other) {
            int byTable = table.compareTo(other.table);
            int byPart = byTable != 0 ? byTable : part.compareTo(other.part);
            return byPart != 0 ? byPart : key.compareTo(other.key);
        }
    }

    /** A row, or the trace of a dropped one if it has no value. */
    record Row(RowId id, byte[] value, long version) {
        ObjectNode toJson() {
            ObjectNode node = Json.object();
            node.put("table", id.table()).put("part", id.part()).put("key", id.key());
            node.put("row_version", version);
            if (value == null) {
                node.put("tombstone", true);
            } else {
                node.put("value", Base64.getEncoder().encodeToString(value));
            }
            return node;
        }
    }

    void serve(HttpStandIn server) {
        server.on("/-/rows-tx", r -> down ? unavailable() : transact(r));
        server.on("/-/rows-get", r -> down ? unavailable() : read(r));
        server.on("/-/rows-feed", r -> down ? unavailable() : feed(r));
        server.on("/-/rows-parts", r -> down ? unavailable() : parts());
    }

    /** Lets all calls be answered with 503 from now on, or be carried out again. */
    synchronized void setDown(boolean value) {
        down = value;
        notifyAll();
    }

    private static HttpStandIn.Answer unavailable() {
        return new HttpStandIn.Answer(503, Json.object());
    }

    /** Writes a row of the operator or of an executor. */
    synchronized long put(String table, String key, String text) {
        version++;
        write(new Row(new RowId(table, "", key), text.getBytes(StandardCharsets.UTF_8), version));
        return version;
    }

    /** Removes a row of the operator or of an executor. */
    synchronized void remove(String table, String key) {
        RowId id = new RowId(table, "", key);
        if (rows.containsKey(id)) {
            version++;
            write(new Row(id, null, version));
        }
    }

    /** Returns the text of a row, or an empty string. */
    synchronized String text(String table, String part, String key) {
        Row row = rows.get(new RowId(table, part, key));
        return row == null ? "" : new String(row.value(), StandardCharsets.UTF_8);
    }

    private void write(Row row) {
        if (row.value() == null) {
            rows.remove(row.id());
        } else {
            rows.put(row.id(), row);
        }
        history.add(row);
        notifyAll();
    }

    private HttpStandIn.Answer transact(HttpStandIn.Request request) {
        HttpStandIn.pause(CALL_MILLIS);
        JsonNode body = Json.parse(request.body());
        int entries = 0;
        for (String list : List.of("expected_revision", "puts", "remove")) {
            entries += body.path(list).size();
        }
        if (entries > MAX_ENTRIES || request.body().length() > MAX_CALL_BYTES) {
            return new HttpStandIn.Answer(400, Json.object().put("detail", "too large"));
        }
        return apply(body);
    }

    private synchronized HttpStandIn.Answer apply(JsonNode body) {
        ArrayNode current = Json.array();
        boolean holds = true;
        for (JsonNode c : body.path("expected_revision")) {
            Row row = rows.get(idOf(c));
            holds &= (row == null ? 0 : row.version()) == c.path("row_version").asLong();
            if (row != null) {
                current.add(row.toJson());
            }
        }
        if (!holds) {
            ObjectNode conflict = stamped();
            conflict.set("rows", current);
            return new HttpStandIn.Answer(412, conflict);
        }
        List<Row> written = new ArrayList<>();
        for (JsonNode p : body.path("puts")) {
            byte[] value = Base64.getDecoder().decode(p.path("value").asText());
            if (value.length > MAX_ROW_BYTES) {
                return new HttpStandIn.Answer(400, Json.object().put("detail", "row too large"));
            }
            written.add(new Row(idOf(p), value, version + 1));
        }
        body.path("remove").forEach(r -> written.add(new Row(idOf(r), null, version + 1)));
        version++;
        written.forEach(this::write);
        return new HttpStandIn.Answer(200, stamped());
    }

    private static RowId idOf(JsonNode node) {
        return new RowId(
                node.path("table").asText(), node.path("part").asText(), node.path("key").asText());
    }

    private ObjectNode stamped() {
        return Json.object().put("row_version", version).put("now_ms", Clock.now());
    }

    private synchronized HttpStandIn.Answer read(HttpStandIn.Request request) {
        String table = request.query("table");
        String part = request.query("part");
        String from = request.query("from");
        String target = request.query("target");
        String limitText = request.query("limit");
        int limit =
                limitText.isEmpty()
                        ? MAX_ROWS_PER_PAGE
                        : Math.min(MAX_ROWS_PER_PAGE, Integer.parseInt(limitText));
        ArrayNode list = Json.array();
        boolean more = false;
        int bytes = 0;
        for (Row row : rows.tailMap(new RowId(table, part, from)).values()) {
            RowId id = row.id();
            boolean sameRange = id.table().equals(table) && id.part().equals(part);
            if (!sameRange || !target.isEmpty() && id.key().compareTo(target) >= 0) {
                break;
            }
            bytes += row.value().length * 4 / 3;
            if (list.size() >= limit || bytes > MAX_CALL_BYTES && !list.isEmpty()) {
                more = true;
                break;
            }
            list.add(row.toJson());
        }
        ObjectNode answer = stamped();
        answer.set("rows", list);
        return new HttpStandIn.Answer(200, answer.put("has_more", more));
    }

    private synchronized HttpStandIn.Answer parts() {
        ArrayNode parts = Json.array();
        rows.keySet().stream().map(RowId::part).distinct().forEach(parts::add);
        ObjectNode answer = stamped();
        answer.set("parts", parts);
        return new HttpStandIn.Answer(200, answer.put("has_more", false));
    }

    private HttpStandIn.Answer feed(HttpStandIn.Request request) {
        String table = request.query("table");
        long after = Long.parseLong(request.query("after"));
        String wait = request.query("wait_ms");
        long until = Clock.now() + (wait.isEmpty() ? 0 : Long.parseLong(wait));
        synchronized (this) {
            while (!down) {
                ArrayNode changed = changesAfter(table, after);
                long left = until - Clock.now();
                if (!changed.isEmpty() || left <= 0) {
                    ObjectNode answer = stamped();
                    answer.set("rows", changed);
                    return new HttpStandIn.Answer(200, answer);
                }
                try {
                    wait(left);
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            }
            return unavailable();
        }
    }

    private ArrayNode changesAfter(String table, long after) {
        int first = history.size();
        while (first > 0 && history.get(first - 1).version() > after) {
            first--;
        }
        ArrayNode changed = Json.array();
        for (Row row : history.subList(first, history.size())) {
            if (row.id().table().equals(table)) {
                changed.add(row.toJson());
            }
        }
        return changed;
    }
}
