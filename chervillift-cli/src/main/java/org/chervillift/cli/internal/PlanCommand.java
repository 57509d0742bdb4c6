package org.chervillift.cli.internal;

import io.activej.http.HttpMethod;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.ParseException;
import org.chervillift.http.HttpAnswer;
import org.chervillift.http.Json;

/** Shows what a sheet would change. */
public final class PlanCommand implements Command {

    @Override
    public String name() {
        return "plan";
    }

    @Override
    public String arguments() {
        return "SHEET";
    }

    @Override
    public String summary() {
        return "Shows what a sheet would change, and on which version.";
    }

    @Override
    public boolean changesNothing(CommandLine line) {
        return true;
    }

    @Override
    public Outcome run(CommandLine line, OperatorClient client) throws ParseException {
        byte[] sheet = SheetFile.read(line);
        HttpAnswer answer = client.send(HttpMethod.POST, "/operator/v1/plan", sheet);
        if (!answer.isSuccess()) {
            return Answered.refused(answer);
        }
        Plan plan = Json.decode(answer.body(), Plan.class);
        return Outcome.done(text(plan), answer.body());
    }

    private static String text(Plan plan) {
        if (plan.changes().isEmpty()) {
            return "The sheet changes nothing. It is in force as version %d."
                    .formatted(plan.baseVersion());
        }
        StringBuilder text = new StringBuilder();
        plan.changes().forEach(c -> text.append(c).append('\n'));
        text.append("Changes: ").append(plan.changes().size()).append(". ");
        text.append("Apply with: apply SHEET --base ").append(plan.baseVersion());
        plan.confirmations().forEach(c -> text.append(" --confirm ").append(c.word()));
        plan.confirmations().forEach(c -> text.append("\nTake care: ").append(c.reason()));
        return text.toString();
    }

    private record Plan(
            long baseVersion, List<String> changes, List<ConfirmationView> confirmations) {}

    private record ConfirmationView(String word, String reason) {}
}
