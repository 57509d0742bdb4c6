package org.chervillift.daemon.tasks.relay;

import java.util.Optional;
import org.chervillift.api.Checks;
import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.core.tasks.relay.RelayCause;

/**
 * The answer of an entry VM to a relayed request.
 *
 * @param answer what the caller would be told
 * @param cause why another entry VM may be able to serve the request, if it may
 */
public record RelayedAnswer(JobAnswer answer, Optional<RelayCause> cause) {
    public RelayedAnswer {
        Checks.notNull("answer", answer);
        Checks.notNull("cause", cause);
    }
}
