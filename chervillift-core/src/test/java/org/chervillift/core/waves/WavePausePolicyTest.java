package org.chervillift.core.waves;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.chervillift.api.config.VmSpec;
import org.chervillift.api.fleet.VmRow;
import org.chervillift.api.fleet.VmState;
import org.chervillift.api.fleet.WaveRow;
import org.chervillift.api.fleet.WaveState;
import org.junit.jupiter.api.Test;

class WavePausePolicyTest {

    private static final Instant START = Instant.ofEpochSecond(1_000_000);
    private static final Instant NOW = START.plus(Duration.ofMinutes(20));

    @Test
    void pausesWhenReturnedVmsFailMoreThanExpected() {
        List<VmRow> vms = fleet(10, 20);

        WaveRow after =
                WavePausePolicy.afterFailures(
                        wave(), vms.subList(0, 2), vms, WaveSettings.DEFAULT, NOW);

        assertThat(after.state()).isEqualTo(WaveState.PAUSED);
        assertThat(after.reason())
                .startsWith(
                        "2 VMs failed within 30 min of their return, but only 0.00 were expected")
                .endsWith(": v0, v1.");
    }

    @Test
    void keepsRunningWhenOthersFailAsOften() {
        List<VmRow> vms = fleet(200, 200);

        WaveRow after =
                WavePausePolicy.afterFailures(
                        wave().withFailures(List.of(), 100),
                        vms.subList(0, 2),
                        vms,
                        WaveSettings.DEFAULT,
                        NOW);

        assertThat(after.state()).isEqualTo(WaveState.RUNNING);
        assertThat(after.failedAfterReturn()).containsExactly("v0", "v1");
    }

    private static List<VmRow> fleet(int returned, int others) {
        List<VmRow> vms = new ArrayList<>();
        for (int i = 0; i < returned + others; i++) {
            VmSpec spec = new VmSpec("v" + i, "p", "dc1", "r", "127.0.0.1:80", 8);
            VmRow row = VmRow.first(spec, Instant.EPOCH);
            Instant back = START.plus(Duration.ofMinutes(10));
            vms.add(i < returned ? row.rebooted(back).enter(VmState.IN_SERVICE, back) : row);
        }
        return vms;
    }

    private static WaveRow wave() {
        long start = START.toEpochMilli();
        return new WaveRow(
                "w",
                WaveState.RUNNING,
                "",
                start,
                start + 1,
                false,
                List.of(),
                List.of(),
                List.of(),
                0);
    }
}
