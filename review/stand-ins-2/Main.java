import java.nio.file.Path;

/** Runs a case; the exit status is 1 if the rule was broken, 0 if it held, 2 if it could not run. */
public final class Main {

    private Main() {}

    public static void main(String[] args) throws Exception {
        int code = 2;
        try {
            Record record = new Record(Path.of(args[1]));
            boolean trouble = !args[3].equals("0");
            record.line("case %s, trouble=%s", args[0], trouble);
            Path folder = Path.of(args[2]);
            code =
                    switch (args[0]) {
                        case "crash-under-many" -> CrashUnderManyCase.run(folder, record, trouble);
                        case "handover-in-wave" -> HandoverInWaveCase.run(folder, record, trouble);
                        case "start-under-upkeep" -> StartUnderUpkeepCase.run(folder, record, trouble);
                        case "two-handovers" -> TwoHandoversCase.run(folder, record, trouble);
                        case "backlog" -> BacklogCase.run(folder, record, trouble);
                        default -> 2;
                    };
            record.line("exit %d", code);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }
}
