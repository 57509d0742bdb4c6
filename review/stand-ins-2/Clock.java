/** The steady clock of the stand-ins, in milliseconds since their start. */
final class Clock {

    private static final long START = System.nanoTime();

    private Clock() {}

    static long now() {
        return (System.nanoTime() - START) / 1_000_000 + 1;
    }
}
