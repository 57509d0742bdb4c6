package org.chervillift.api.tasks;

import java.util.List;
import org.chervillift.api.Checks;

/**
 * The operator's order to maintain VMs.
 *
 * @param number the wave
 * @param vms the VMs to maintain
 * @param durationMillis the time in which all should be maintained
 * @param cap how many may be down for it at once
 */
public record WaveOrder(long number, List<String> vms, long durationMillis, int cap) {
    public WaveOrder {
        vms = List.copyOf(vms);
        Checks.notNegative("durationMillis", durationMillis);
        Checks.inRange("cap", cap, 1, Integer.MAX_VALUE);
    }
}
