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
 * Gives each attempt at an upstream a permit of its team, and takes the permit back after it.
 *
 * <p>An attempt that was lost may still run, so its permit is held for the hard bound of a run, and
 * the next attempt needs another. A request that goes to another entry VM gets its permit there. A
 * request without a key is of no team and needs none.
 */
public final class PermittedSender implements Sender {

    private static final SendResult AT_LIMIT =
            new SendResult.NotRun(SendResult.Reason.NOT_SENT, ErrorCode.TEAM_LIMIT);

    private final Sender sender;
    private final TeamLimits limits;

    /** Creates a sender that hands permitted requests on. */
    public PermittedSender(Sender sender, TeamLimits limits) {
        this.sender = Checks.notNull("sender", sender);
        this.limits = Checks.notNull("limits", limits);
    }

    @Override
    public void send(
            RoutingDecision target,
            OutgoingRequest request,
            boolean freshConnection,
            Instant until,
            Consumer<SendResult> onResult) {
        boolean ofTeam = !request.authorization().isBlank();
        if (!ofTeam || !(target instanceof RoutingDecision.ToUpstream)) {
            sender.send(target, request, freshConnection, until, onResult);
            return;
        }
        Consumer<Permit> start =
                permit ->
                        sender.send(
                                target,
                                request,
                                freshConnection,
                                until,
                                result -> {
                                    limits.end(permit, endOf(result));
                                    onResult.accept(result);
                                });
        limits.admit(request.team(), until, a -> admitted(a, start, onResult));
    }

    private void admitted(
            Admission admission, Consumer<Permit> start, Consumer<SendResult> onResult) {
        if (!(admission instanceof Admission.Admitted a)) {
            onResult.accept(AT_LIMIT);
        } else if (limits.maySend(a.permit())) {
            start.accept(a.permit());
        } else {
            limits.end(a.permit(), RunStatus.ENDED);
            onResult.accept(AT_LIMIT);
        }
    }

    private static RunStatus endOf(SendResult result) {
        return switch (result) {
            case SendResult.Replied r -> RunStatus.ENDED;
            case SendResult.NotRun n -> RunStatus.ENDED;
            case SendResult.MayHaveRun l -> RunStatus.POSSIBLY_RUNNING;
        };
    }
}
