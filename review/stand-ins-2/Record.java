import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Writes what was sent, answered and run, and keeps the runs for the checks. */
final class Record {

    private final PrintWriter out;
    private final Map<String, List<String>> openRuns = new HashMap<>();
    private final Map<String, Integer> starts = new HashMap<>();
    private final Map<String, Integer> ends = new HashMap<>();
    private final List<String> overlaps = new ArrayList<>();

    Record(Path file) throws IOException {
        this.out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    synchronized void line(String format, Object... args) {
        out.printf("+%.3f %s%n", Clock.now() / 1000.0, String.format(format, args));
    }

    synchronized void started(String task, int run, String executor, String spec) {
        line("start %s run %d on %s", task, run, executor);
        starts.merge(jobOf(task), 1, Integer::sum);
        List<String> open = openRuns.computeIfAbsent(task, t -> new ArrayList<>());
        if (!open.isEmpty()) {
            overlaps.add(task + " run " + run + " on " + executor + " beside " + open);
            line("OVERLAP %s run %d on %s beside %s", task, run, executor, open);
        }
        open.add(executor);
    }

    synchronized void ended(String task, int run, String executor, String how) {
        line("end %s run %d on %s %s", task, run, executor, how);
        ends.merge(jobOf(task) + " " + how, 1, Integer::sum);
        openRuns.getOrDefault(task, new ArrayList<>()).remove(executor);
    }

    synchronized void executorGone(String executor) {
        openRuns.values().forEach(open -> open.remove(executor));
    }

    synchronized int starts(String job) {
        return starts.getOrDefault(job, 0);
    }

    synchronized int ends(String job, String how) {
        return ends.getOrDefault(job + " " + how, 0);
    }

    synchronized List<String> overlaps() {
        return List.copyOf(overlaps);
    }

    private static String jobOf(String task) {
        return task.substring(0, task.indexOf('.'));
    }
}
