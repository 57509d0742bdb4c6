package org.chervillift.core.tasks.relay;

import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobRequest.Action;

/** Decides the answer to a caller whose request was sent to one or more entry VMs. */
public final class RelayAnswers {

    private RelayAnswers() {}

    /**
     * Returns the answer for the caller.
     *
     * @param mayHaveTakenEffect whether an earlier attempt may have taken effect, here or at a
     *     peer; a refusal would then claim that the job has not run although it may
     */
    public static JobAnswer toCaller(Action action, boolean mayHaveTakenEffect, JobAnswer answer) {
        boolean mustNotRefuse = mayHaveTakenEffect && action != Action.READ;
        return mustNotRefuse && isRefusal(answer) ? new JobAnswer.OutcomeUnknown() : answer;
    }

    private static boolean isRefusal(JobAnswer answer) {
        return switch (answer) {
            case JobAnswer.Accepted a -> false;
            case JobAnswer.Cancelled c -> false;
            case JobAnswer.State s -> false;
            case JobAnswer.Pending p -> false;
            case JobAnswer.OutcomeUnknown o -> false;
            case JobAnswer.NoSuchQueue q -> true;
            case JobAnswer.NoSuchJob j -> true;
            case JobAnswer.KeyRefused k -> true;
            case JobAnswer.NotAllowed n -> true;
            case JobAnswer.Malformed m -> true;
            case JobAnswer.TooLarge t -> true;
            case JobAnswer.TooBusy b -> true;
            case JobAnswer.Unavailable u -> true;
        };
    }
}
