package org.chervillift.core.tasks.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobRequest.Action;
import org.junit.jupiter.api.Test;

/**
 * Checks that no refusal claims that a job has not run after an attempt that may have stored it.
 */
class RelayAnswersTest {

    private static final JobAnswer UNKNOWN = new JobAnswer.OutcomeUnknown();
    private static final List<JobAnswer> REFUSALS =
            List.of(
                    new JobAnswer.Unavailable("why", Duration.ofSeconds(1)),
                    new JobAnswer.TooBusy(Duration.ofSeconds(1)),
                    new JobAnswer.TooLarge("why"),
                    new JobAnswer.Malformed("why"),
                    new JobAnswer.KeyRefused(),
                    new JobAnswer.NoSuchQueue());

    @Test
    void noRefusalFollowsAnAttemptThatMayHaveTakenEffect() {
        for (JobAnswer refusal : REFUSALS) {
            assertThat(RelayAnswers.toCaller(Action.SUBMIT, true, refusal)).isEqualTo(UNKNOWN);
            assertThat(RelayAnswers.toCaller(Action.CANCEL, true, refusal)).isEqualTo(UNKNOWN);
            assertThat(RelayAnswers.toCaller(Action.SUBMIT, false, refusal)).isEqualTo(refusal);
            assertThat(RelayAnswers.toCaller(Action.READ, true, refusal)).isEqualTo(refusal);
        }
    }

    @Test
    void anAcceptanceIsPassedOn() {
        JobAnswer accepted = new JobAnswer.Accepted();
        assertThat(RelayAnswers.toCaller(Action.SUBMIT, true, accepted)).isEqualTo(accepted);
    }
}
