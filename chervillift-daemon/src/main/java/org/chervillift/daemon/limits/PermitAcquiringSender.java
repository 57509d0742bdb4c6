package org.chervillift.daemon.limits;

import java.time.Instant;
import java.util.function.Consumer;
import org.chervillift.api.Checks;
import org.chervillift.api.ErrorCode;
import org.chervillift.core.limits.Admission;
import org.chervillift.core.limits.Permit;
import org.chervillift.core.limits.RunStatus;
import org.chervillift.core.routing.RoutingDecision;
import org.chervillift.daemon.requests.OutgoingRequest;
import org.chervillift.daemon.requests.SendResult;
import org.chervillift.daemon.requests.Sender;

/**
 * Acquires a permit of the team for each attempt at an upstream, and releases it after the attempt.
 *
 * <p>A lost attempt may still be running, so its permit is held for the maximum run time, and the
 * next attempt needs another permit. A request that is forwarded to another entry VM gets its
 * permit there. A request without a key belongs to no team and needs no permit.
 */
public final class PermitAcquiringSender implements Sender {

    private static final SendResult TEAM_LIMIT_REACHED =
            new SendResult.NotRun(SendResult.Reason.NOT_SENT, ErrorCode.TEAM_LIMIT);

    private final Sender delegate;
    private final TeamLimitPart limits;

    /** Creates a sender that passes a request to another sender once it has a permit. */
    public PermitAcquiringSender(Sender delegate, TeamLimitPart limits) {
        this.delegate = Checks.notNull("delegate", delegate);
        this.limits = Checks.notNull("limits", limits);
    }

    @Override
    public void send(
            RoutingDecision target,
            OutgoingRequest request,
            boolean freshConnection,
            Instant until,
            Consumer<SendResult> onResult) {
        boolean hasKey = !request.authorization().isBlank();
        if (!hasKey || !(target instanceof RoutingDecision.ToUpstream)) {
            delegate.send(target, request, freshConnection, until, onResult);
            return;
        }
        Consumer<Permit> sendWithPermit =
                permit ->
                        delegate.send(
                                target,
                                request,
                                freshConnection,
                                until,
                                result -> {
                                    limits.release(permit, runStatus(result));
                                    onResult.accept(result);
                                });
        limits.admit(request.team(), until, a -> onAdmission(a, sendWithPermit, onResult));
    }

    private void onAdmission(
            Admission admission, Consumer<Permit> sendWithPermit, Consumer<SendResult> onResult) {
        if (!(admission instanceof Admission.Admitted a)) {
            onResult.accept(TEAM_LIMIT_REACHED);
        } else if (limits.maySend(a.permit())) {
            sendWithPermit.accept(a.permit());
        } else {
            limits.release(a.permit(), RunStatus.ENDED);
            onResult.accept(TEAM_LIMIT_REACHED);
        }
    }

    private static RunStatus runStatus(SendResult result) {
        return switch (result) {
            case SendResult.Replied r -> RunStatus.ENDED;
            case SendResult.NotRun n -> RunStatus.ENDED;
            case SendResult.MayHaveRun l -> RunStatus.POSSIBLY_RUNNING;
        };
    }
}
