import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;

/**
 * The platform's metadata store, as PROTOCOL.md tells it: rows, transactions under conditions, reads
 * of ranges, and the feed of changes. It enforces the stated sizes.
 */
final class Store {

    private static final int ROW_BYTES = 65_536;
    private static final int CALL_ENTRIES = 100;
    private static final int CALL_BYTES = 1_000_000;
    private static final int PAGE_ROWS = 500;
    private static final int PAGE_BYTES = 1_000_000;
    private static final long ANSWER_MILLIS = 4;

    /** A row, or the mark of a dropped one. */
    record Row(String table, String part, String key, String value, long version, boolean dropped) {
        Map<String, Object> shown() {
            Map<String, Object> m = new LinkedHashMap<>();
            m.put("table", table);
            m.put("part", part);
            m.put("key", key);
            if (dropped) {
                m.put("tombstone", true);
            } else {
                m.put("value", value);
            }
            m.put("row_version", version);
            return m;
        }
    }

    private final Map<String, TreeMap<String, Row>> rows = new TreeMap<>();
    private final Map<String, List<Row>> history = new TreeMap<>();
    private long version;
    private long refusedForSize;
    private String lastRefusal = "";

    /** Opens a way to the store, and returns its address. */
    String open(BooleanSupplier cut) throws IOException {
        return Http.address(Http.serve(cut, (method, path, query, body, x) -> {
            Thread.sleep(ANSWER_MILLIS);
            return switch (path) {
                case "/-/rows-tx" -> apply(body);
                case "/-/rows-get" -> get(query);
                case "/-/rows-feed" -> feed(query);
                case "/-/rows-parts" -> parts(query);
                default -> new Http.Answer(404, Map.of());
            };
        }));
    }

    long refusedForSize() {
        return refusedForSize;
    }

    String lastRefusal() {
        return lastRefusal;
    }

    private long nowMillis() {
        return Record.nowMillis() + 50_000;
    }

    private static String place(String table, String part) {
        return table + "\n" + part;
    }

    private synchronized Http.Answer apply(JsonNode body) {
        int entries = body.path("expected_revision").size() + body.path("puts").size() + body.path("remove").size();
        if (entries > CALL_ENTRIES || body.toString().length() > CALL_BYTES) {
            return tooLarge("a call of " + entries + " entries and " + body.toString().length() + " bytes");
        }
        String part = null;
        for (String list : List.of("expected_revision", "puts", "remove")) {
            for (JsonNode e : body.path(list)) {
                String p = e.path("part").asText();
                if (part != null && !part.equals(p)) {
                    return new Http.Answer(400, Map.of());
                }
                part = p;
                String table = e.path("table").asText();
                if (!list.equals("expected_revision") && (table.equals("op") || table.equals("servers"))) {
                    return new Http.Answer(403, Map.of());
                }
            }
        }
        for (JsonNode e : body.path("puts")) {
            int size = Base64.getDecoder().decode(e.path("value").asText()).length;
            if (size > ROW_BYTES) {
                return tooLarge("row " + e.path("table").asText() + "/" + e.path("key").asText() + " of " + size
                        + " bytes");
            }
        }
        boolean holds = true;
        List<Map<String, Object>> current = new ArrayList<>();
        for (JsonNode e : body.path("expected_revision")) {
            Row row = row(e.path("table").asText(), part, e.path("key").asText());
            holds &= (row == null ? 0 : row.version()) == e.path("row_version").asLong();
            if (row != null) {
                current.add(row.shown());
            }
        }
        if (!holds) {
            return new Http.Answer(412, Map.of("rows", current, "row_version", version, "now_ms", nowMillis()));
        }
        version++;
        for (JsonNode e : body.path("puts")) {
            write(new Row(e.path("table").asText(), part, e.path("key").asText(), e.path("value").asText(), version,
                    false));
        }
        for (JsonNode e : body.path("remove")) {
            write(new Row(e.path("table").asText(), part, e.path("key").asText(), "", version, true));
        }
        notifyAll();
        return new Http.Answer(200, Map.of("row_version", version, "now_ms", nowMillis()));
    }

    private Http.Answer tooLarge(String what) {
        refusedForSize++;
        if (refusedForSize <= 3 || refusedForSize % 50 == 0) {
            Record.line("STORE refuses, larger than the stated size: " + what + " (refusal " + refusedForSize + ")");
        }
        lastRefusal = what;
        return new Http.Answer(400, Map.of("detail", "too large"));
    }

    private Row row(String table, String part, String key) {
        TreeMap<String, Row> t = rows.get(place(table, part));
        return t == null ? null : t.get(key);
    }

    private void write(Row row) {
        TreeMap<String, Row> t = rows.computeIfAbsent(place(row.table(), row.part()), p -> new TreeMap<>());
        if (row.dropped()) {
            t.remove(row.key());
        } else {
            t.put(row.key(), row);
        }
        history.computeIfAbsent(row.table(), p -> new ArrayList<>()).add(row);
    }

    /** Writes a row as the operator or an executor does. */
    synchronized void put(String table, String key, String text) {
        version++;
        String value = Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
        write(new Row(table, "", key, value, version, false));
        notifyAll();
    }

    synchronized void remove(String table, String key) {
        version++;
        write(new Row(table, "", key, "", version, true));
        notifyAll();
    }

    /** Returns the text of a row, or null. */
    synchronized String text(String table, String part, String key) {
        Row row = row(table, part, key);
        return row == null ? null : new String(Base64.getDecoder().decode(row.value()), StandardCharsets.UTF_8);
    }

    private synchronized Http.Answer get(Map<String, String> query) {
        TreeMap<String, Row> t = rows.getOrDefault(
                place(query.get("table"), query.getOrDefault("part", "")), new TreeMap<>());
        String from = query.getOrDefault("from", "");
        String until = query.get("target");
        int most = Math.min(PAGE_ROWS, Integer.parseInt(query.getOrDefault("limit", "" + PAGE_ROWS)));
        List<Map<String, Object>> page = new ArrayList<>();
        boolean more = false;
        int bytes = 0;
        for (Row row : t.tailMap(from, true).values()) {
            if (until != null && row.key().compareTo(until) >= 0) {
                break;
            }
            bytes += row.value().length() + 150;
            if (page.size() >= most || (bytes > PAGE_BYTES && !page.isEmpty())) {
                more = true;
                break;
            }
            page.add(row.shown());
        }
        return new Http.Answer(200,
                Map.of("rows", page, "has_more", more, "row_version", version, "now_ms", nowMillis()));
    }

    private synchronized Http.Answer feed(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long until = Record.nowMillis() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        while (true) {
            List<Row> changes = history.getOrDefault(query.get("table"), List.of());
            int first = changes.size();
            while (first > 0 && changes.get(first - 1).version() > after) {
                first--;
            }
            long left = until - Record.nowMillis();
            if (first < changes.size() || left <= 0) {
                List<Map<String, Object>> shown =
                        changes.subList(first, changes.size()).stream().map(Row::shown).toList();
                return new Http.Answer(200, Map.of("rows", shown, "row_version", version, "now_ms", nowMillis()));
            }
            wait(left);
        }
    }

    private synchronized Http.Answer parts(Map<String, String> query) {
        String table = query.get("table");
        List<String> parts = rows.keySet().stream()
                .filter(p -> p.startsWith(table + "\n"))
                .map(p -> p.substring(table.length() + 1))
                .toList();
        return new Http.Answer(200, Map.of("parts", parts));
    }
}
