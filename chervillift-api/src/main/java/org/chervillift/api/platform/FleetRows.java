package org.chervillift.api.platform;

import java.util.Optional;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.Transaction.Write;
import org.chervillift.api.tasks.Manifest;
import org.chervillift.api.tasks.WaveOrder;
import org.chervillift.api.tasks.WorkerEntry;

/** The rows that the operator and the workers write, and the ones that the operator reads. */
public interface FleetRows {

    /** Returns the table that the operator writes. */
    String operatorTable();

    /** Returns the table in which the workers register. */
    String workerTable();

    /** Reads a row of the operator; empty for a row that says nothing to this program. */
    Optional<OperatorRow> operatorRow(String key, String value);

    /** Reads a row of the workers' table, which other writers may have written. */
    WorkerRow worker(String key, String value);

    /** Returns the row that tells the operator how far a wave is. */
    RowKey waveStatusKey(long wave);

    /** Returns the write that tells the operator how far a wave is. */
    Write waveStatus(long wave, boolean completed);

    /** What a row of the workers' table says. */
    sealed interface WorkerRow {

        /** Returns the entry, if it names a worker to use. */
        default Optional<WorkerEntry> entry() {
            return switch (this) {
                case Usable u -> Optional.of(u.worker());
                case Unusable u -> Optional.empty();
            };
        }

        /**
         * The entry of a worker.
         *
         * @param worker what the worker says of itself
         */
        record Usable(WorkerEntry worker) implements WorkerRow {
            public Usable {
                Checks.notNull("worker", worker);
            }
        }

        /**
         * A row that names no worker to use.
         *
         * @param reason why, in one sentence
         */
        record Unusable(String reason) implements WorkerRow {
            public Unusable {
                Checks.notNull("reason", reason);
            }
        }
    }

    /** What the operator wrote. */
    sealed interface OperatorRow {

        /**
         * The configuration.
         *
         * @param manifest the configuration
         */
        record Configuration(Manifest manifest) implements OperatorRow {
            public Configuration {
                Checks.notNull("manifest", manifest);
            }
        }

        /**
         * An order to maintain VMs.
         *
         * @param order the order
         */
        record Wave(WaveOrder order) implements OperatorRow {
            public Wave {
                Checks.notNull("order", order);
            }
        }

        /**
         * A request to evacuate a data centre, which holds until its row is deleted.
         *
         * @param dataCentre the name of the data centre
         */
        record Evacuation(String dataCentre) implements OperatorRow {
            public Evacuation {
                Checks.notBlank("dataCentre", dataCentre);
            }
        }
    }
}
