package org.chervillift.api.report;

import java.util.List;
import java.util.Map;

/**
 * What happened in a span of time.
 *
 * @param fromMillis the start of the span, in milliseconds since 1970 UTC
 * @param toMillis the end of the span, in milliseconds since 1970 UTC
 * @param configVersion the configuration in force at the reporting process
 * @param objectives one entry an objective of the sheet
 * @param vmsByState the number of VMs in each state now
 * @param spareVms the number of VMs in spare pools now
 * @param waves one plain line a wave
 */
public record FleetReport(
        long fromMillis,
        long toMillis,
        long configVersion,
        List<ObjectiveReport> objectives,
        Map<String, Integer> vmsByState,
        int spareVms,
        List<String> waves) {
    public FleetReport {
        objectives = List.copyOf(objectives);
        vmsByState = Map.copyOf(vmsByState);
        waves = List.copyOf(waves);
    }
}
