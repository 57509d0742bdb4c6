package org.chervillift.api.tasks;

import java.util.List;
import org.chervillift.api.Checks;

/**
 * A job as a caller describes it.
 *
 * @param id the identifier that the caller chose
 * @param payload the text that each task gets
 * @param steps the steps, in the order by which they name each other
 * @param schedule how often the steps run
 */
public record JobSpec(String id, String payload, List<StepSpec> steps, Schedule schedule) {

    public JobSpec {
        Checks.notBlank("id", id);
        Checks.notNull("payload", payload);
        steps = List.copyOf(steps);
        Checks.that(!steps.isEmpty(), "a job must have a step");
        Checks.notNull("schedule", schedule);
        for (int i = 0; i < steps.size(); i++) {
            for (int before : steps.get(i).after()) {
                Checks.that(before >= 0 && before < i, "a step may only follow earlier steps");
            }
        }
    }
}
