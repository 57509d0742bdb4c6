package org.chervillift.bench.soak;

import static org.chervillift.http.HttpStatus.OK;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import org.chervillift.api.ErrorCode;
import org.chervillift.core.routing.Upstream;
import org.chervillift.daemon.requests.SendResult;
import org.chervillift.daemon.requests.UpstreamResponse;
import org.chervillift.runtime.supervision.Scheduler;

/** A back end with slots that goes down, leaves, fails fast, cuts answers and answers late. */
final class SoakUpstream {

    private static final int SERVER_FAILURE = 500;
    private static final int MOST_RUN_MILLIS = 400;
    private static final int CUT_OF_100 = 3;
    private static final int LATE_OF_100 = 2;
    private static final Duration LATE = Duration.ofSeconds(8);
    private static final Duration LEAVING_BOUND = Duration.ofSeconds(3);

    private final Upstream listed;
    private final Scheduler scheduler;
    private final Random random;
    private final SoakLedger ledger;
    private Mode mode = Mode.GOOD;
    private Instant leavingSince = Instant.MAX;
    private int running;

    SoakUpstream(Upstream listed, Scheduler scheduler, Random random, SoakLedger ledger) {
        this.listed = listed;
        this.scheduler = scheduler;
        this.random = random;
        this.ledger = ledger;
    }

    Mode mode() {
        return mode;
    }

    void setMode(Mode next) {
        if (mode == next) {
            return;
        }
        mode = next;
        leavingSince = next == Mode.LEAVING ? scheduler.now() : Instant.MAX;
    }

    /** Returns how the lagging list shows it. */
    Upstream listed(Instant listTime) {
        return new Upstream(
                listed.id(),
                listed.pool(),
                listed.dataCentre(),
                listed.address(),
                listed.slots(),
                !listTime.isBefore(leavingSince));
    }

    boolean acceptsConnections() {
        return mode != Mode.DOWN;
    }

    /** Takes a request whose bytes arrived. */
    void arrive(long tag, Instant sentAt, Consumer<SendResult> onResult) {
        if (mode == Mode.DOWN) {
            onResult.accept(new SendResult.MayHaveRun(ErrorCode.UPSTREAM_FAILED));
            return;
        }
        if (mode == Mode.LEAVING) {
            ledger.require(
                    sentAt.isBefore(leavingSince.plus(LEAVING_BOUND).plus(SoakWorld.LIST_LAG)),
                    listed.id() + " got work after it was known to leave");
            refuse(SendResult.Reason.LEAVING, onResult);
            return;
        }
        if (running >= listed.slots()) {
            ledger.count("upstream.busy");
            refuse(SendResult.Reason.BUSY, onResult);
            return;
        }
        run(tag, onResult);
    }

    private static void refuse(SendResult.Reason reason, Consumer<SendResult> onResult) {
        onResult.accept(new SendResult.NotRun(reason, ErrorCode.NO_ROOM));
    }

    private void run(long tag, Consumer<SendResult> onResult) {
        ledger.ran(tag);
        running++;
        boolean fails = mode == Mode.FAILS_FAST;
        boolean late = chance(LATE_OF_100);
        Duration time = Duration.ofMillis(1L + (fails ? 0 : random.nextInt(MOST_RUN_MILLIS)));
        scheduler.schedule(
                late ? time.plus(LATE) : time,
                () -> {
                    running--;
                    onResult.accept(chance(CUT_OF_100) ? cut() : reply(tag, fails));
                });
    }

    private static SendResult cut() {
        return new SendResult.MayHaveRun(ErrorCode.UPSTREAM_FAILED);
    }

    private SendResult reply(long tag, boolean fails) {
        int status = fails ? SERVER_FAILURE : OK;
        return new SendResult.Replied(new UpstreamResponse(status, List.of(), ledger.replyTo(tag)));
    }

    private boolean chance(int ofHundred) {
        return random.nextInt(100) < ofHundred;
    }

    /** How it behaves. */
    enum Mode {
        GOOD,
        DOWN,
        LEAVING,
        FAILS_FAST
    }
}
