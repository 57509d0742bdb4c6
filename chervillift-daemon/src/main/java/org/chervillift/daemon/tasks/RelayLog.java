package org.chervillift.daemon.tasks;

import java.time.Duration;
import org.chervillift.api.Checks;
import org.chervillift.core.tasks.relay.RelayCause;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;
import org.chervillift.runtime.supervision.Scheduler;

/** Logs when this process begins to relay requests, and when it has not for a while. */
final class RelayLog {

    private static final Duration QUIET_TIME = Duration.ofSeconds(1);

    private final Scheduler scheduler;
    private boolean active;
    private long startedAt;
    private long lastAt;
    private int answered;
    private int failed;

    RelayLog(Scheduler scheduler) {
        this.scheduler = Checks.notNull("scheduler", scheduler);
    }

    /** Records that a request is relayed. */
    void recordStart(RelayCause cause, String vm) {
        lastAt = nowMillis();
        if (active) {
            return;
        }
        active = true;
        startedAt = lastAt;
        answered = 0;
        failed = 0;
        EventLog.log(
                TaskEvent.RELAYING_STARTED, Field.of("cause", cause), Field.of("firstPeer", vm));
        scheduler.schedule(QUIET_TIME, this::endIfQuiet);
    }

    /** Records that a peer has answered or not. */
    void recordEnd(boolean served) {
        if (served) {
            answered++;
        } else {
            failed++;
        }
    }

    private void endIfQuiet() {
        long quietMillis = nowMillis() - lastAt;
        long remaining = QUIET_TIME.toMillis() - quietMillis;
        if (remaining > 0) {
            scheduler.schedule(Duration.ofMillis(remaining), this::endIfQuiet);
            return;
        }
        active = false;
        EventLog.log(
                TaskEvent.RELAYING_ENDED,
                Field.of("afterMillis", lastAt - startedAt),
                Field.of("answered", answered),
                Field.of("failed", failed));
    }

    private long nowMillis() {
        return scheduler.now().toEpochMilli();
    }
}
