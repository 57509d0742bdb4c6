import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: one line an event, with the seconds since the case began. */
final class Record {

    private static final long START = System.nanoTime();
    private static PrintWriter out;

    private Record() {}

    static void open(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    static long nowMillis() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static synchronized void line(String text) {
        out.printf("%8.3f %s%n", nowMillis() / 1000.0, text);
    }

    /** Writes a line that is also shown on standard output. */
    static void say(String text) {
        line(text);
        System.out.println(text);
    }
}
