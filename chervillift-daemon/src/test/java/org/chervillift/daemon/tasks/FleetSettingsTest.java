package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.StringReader;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Tests the settings that the platform's template may leave without a value. */
class FleetSettingsTest {

    private static final String REQUIRED =
            """
            [vm]
            id = a
            data-centre = dc
            [callers]
            address = 127.0.0.1:1
            [readiness]
            address = 127.0.0.1:2
            [metrics]
            address = 127.0.0.1:3
            [store]
            address = 127.0.0.1:4
            [vms]
            address = 127.0.0.1:5
            take-turns-after-ms = 1
            maintenance-s = 1
            move-s = 1
            [workers]
            max-lease-ms = 1
            stop-timeout-ms = 1
            [jobs]
            cancel-within-ms = 3000
            keep-finished-s = 1
            [shutdown]
            grace-s = 1
            """;

    private static FleetSettings read(String rest) throws IOException {
        return FleetSettings.from(
                FleetSettings.SCHEMA.read("t", new StringReader(REQUIRED + rest)));
    }

    /** A deployment without evacuations gives no value, and its processes would not start. */
    @Test
    void aDeploymentWithoutEvacuationsNeedsNoValue() throws IOException {
        for (String rest : new String[] {"", "[evacuation]\nwithin-ms =\n"}) {
            FleetSettings settings = read(rest);
            assertThat(settings.evacuateWithin()).isEqualTo(Duration.ZERO);
            assertThat(settings.maxOperatorAgeMillis()).isEqualTo(Long.MAX_VALUE);
            assertThat(settings.operatorPollWait()).isEqualTo(TableFollower.DEFAULT_POLL_WAIT);
        }
    }

    /** Starts need time until they are carried out, and polls until they are repeated. */
    @Test
    void theOperatorsRowsAreKnownWellBeforeTheBound() throws IOException {
        for (long within : new long[] {1_500, 2_000, 5_000, 60_000}) {
            FleetSettings settings = read("[evacuation]\nwithin-ms = " + within + "\n");
            assertThat(settings.maxOperatorAgeMillis()).isBetween(500L, within - 1_000);
            assertThat(settings.operatorPollWait().toMillis())
                    .isBetween(1L, settings.maxOperatorAgeMillis() / 2);
        }
    }
}
