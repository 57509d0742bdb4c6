package org.chervillift.core.duties;

import java.util.List;
import org.chervillift.api.Checks;
import org.chervillift.api.fleet.DutyRow;
import org.chervillift.api.platform.Transaction.Condition;
import org.chervillift.core.fleet.Versioned;

/** What a process does about a duty in this round. */
public sealed interface DutyDecision {

    /**
     * The process holds the duty and may write under the condition that the row is unchanged.
     *
     * @param row the row, whose version is a condition of every write
     */
    record Act(Versioned<DutyRow> row) implements DutyDecision {
        public Act {
            Checks.notNull("row", row);
        }
    }

    /**
     * The process writes the row to acquire or renew the lease, and acts in a later round.
     *
     * @param conditions the version that the row must have
     * @param row the row to put
     */
    record Write(List<Condition> conditions, DutyRow row) implements DutyDecision {
        public Write {
            conditions = List.copyOf(conditions);
            Checks.notNull("row", row);
        }
    }

    /** The process does nothing: another one holds the duty or has precedence. */
    record StandBy() implements DutyDecision {}
}
