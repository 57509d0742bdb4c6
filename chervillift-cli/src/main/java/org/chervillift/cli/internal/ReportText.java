package org.chervillift.cli.internal;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.Locale;
import java.util.TreeMap;
import org.chervillift.api.report.BurnWindow;
import org.chervillift.api.report.FleetReport;
import org.chervillift.api.report.ObjectiveReport;

/** Writes a report as plain lines. */
public final class ReportText {

    private ReportText() {}

    /** Returns the lines of a report. Times are in UTC; numbers have a decimal point. */
    public static String of(FleetReport report) {
        StringBuilder text = new StringBuilder();
        line(
                text,
                "Report from %s to %s (UTC), configuration version %d",
                time(report.fromMillis()),
                time(report.toMillis()),
                report.configVersion());
        report.objectives().forEach(o -> objective(text, o));
        line(text, "VMs by state: %s", new TreeMap<>(report.vmsByState()));
        line(text, "VMs in spare pools: %d", report.spareVms());
        line(text, "Waves: %s", report.waves().isEmpty() ? "none" : "");
        report.waves().forEach(w -> line(text, "  %s", w));
        return text.toString().stripTrailing();
    }

    private static void objective(StringBuilder text, ObjectiveReport o) {
        line(
                text,
                "Queue %s: objective %.2f%% good within %d ms; error budget left %.1f%%",
                o.queue(),
                o.goodPercent(),
                o.withinMillis(),
                o.budgetLeftPercent());
        for (BurnWindow w : o.windows()) {
            line(
                    text,
                    "  last %d min: %d answers, %d not good, burn rate %.2f",
                    w.minutes(),
                    w.total(),
                    w.bad(),
                    w.burnRate());
        }
        if (!o.reasons().isEmpty()) {
            line(text, "  refused, by error number: %s", new TreeMap<>(o.reasons()));
        }
    }

    private static void line(StringBuilder text, String format, Object... values) {
        text.append(String.format(Locale.ROOT, format, values).stripTrailing()).append('\n');
    }

    static String time(long millis) {
        return Instant.ofEpochMilli(millis).truncatedTo(ChronoUnit.SECONDS).toString();
    }
}
