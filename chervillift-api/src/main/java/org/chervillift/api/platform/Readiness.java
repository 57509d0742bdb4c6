package org.chervillift.api.platform;

import java.time.Duration;
import java.util.Optional;
import org.chervillift.api.Checks;

/**
 * Whether a process accepts new connections; if not, why, and for how long.
 *
 * @param state the state
 * @param lasted how long the process has been in the state
 * @param storeFailure the failure of the last call to the store, if it failed
 */
public record Readiness(State state, Duration lasted, Optional<String> storeFailure) {

    /** The states between the start of a process and its end. */
    public enum State {
        /** New connections are accepted. */
        READY("ready"),
        /** The rows of the operator have not been read since the start. */
        OPERATOR_ROWS_UNREAD("the rows of the operator have not been read"),
        /** The rows of the operator were read, and contain no configuration. */
        NO_CONFIGURATION("the rows of the operator contain no configuration"),
        /** Changes of the operator's rows are not received. */
        OPERATOR_ROWS_NOT_FOLLOWED("changes of the operator's rows are not received"),
        /** The last call to the store failed. */
        STORE_UNRESPONSIVE("the store does not respond"),
        /** The process shuts down. */
        STOPPING("the process shuts down");

        private final String meaning;

        State(String meaning) {
            this.meaning = meaning;
        }
    }

    public Readiness {
        Checks.notNull("state", state);
        Checks.notNull("lasted", lasted);
        Checks.notNull("storeFailure", storeFailure);
    }

    /** Returns whether new connections are accepted. */
    public boolean isReady() {
        return state == State.READY;
    }

    /** Returns a sentence for operators. */
    public String sentence() {
        if (isReady()) {
            return state.meaning;
        }
        String failure = storeFailure.map(f -> "; last failure of the store: " + f).orElse("");
        return "not ready for %d ms: %s%s".formatted(lasted.toMillis(), state.meaning, failure);
    }
}
