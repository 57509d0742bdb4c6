package org.chervillift.cli.internal;

import java.util.List;
import java.util.Locale;
import org.chervillift.api.report.FleetReport;
import org.chervillift.api.report.ObjectiveReport;

/** Writes a report as one HTML page that needs nothing else. */
public final class ReportPage {

    private static final int PLOT_WIDTH = 720;
    private static final int PLOT_HEIGHT = 120;
    private static final double LEAST_TOP = 2;
    private static final String HEAD =
            """
            <!DOCTYPE html>
            <html lang="en"><head><meta charset="utf-8"><title>chervillift report</title>
            <style>
            body { font-family: sans-serif; margin: 2em; max-width: 60em; }
            pre { background: #f4f4f4; padding: 1em; white-space: pre-wrap; }
            svg { border: 1px solid #999; background: #fff; }
            </style></head><body><h1>Report</h1>
            """;

    private ReportPage() {}

    /** Returns the page. */
    public static String of(FleetReport report) {
        StringBuilder page = new StringBuilder(HEAD);
        page.append("<pre>").append(escape(ReportText.of(report))).append("</pre>\n");
        for (ObjectiveReport o : report.objectives()) {
            page.append("<h2>Queue ").append(escape(o.queue())).append("</h2>\n");
            page.append(
                    "<p>Burn rate in buckets of 5 minutes. The line is 1: the budget is used up"
                            + " just at the end of its span.</p>\n");
            page.append(plot(o.burnByBucket()));
        }
        return page.append("</body></html>\n").toString();
    }

    private static String plot(List<Double> rates) {
        double top = Math.max(LEAST_TOP, rates.stream().mapToDouble(r -> r).max().orElse(0));
        double step = (double) PLOT_WIDTH / Math.max(1, rates.size());
        StringBuilder svg = new StringBuilder();
        append(svg, "<svg width=\"%d\" height=\"%d\" role=\"img\">\n", PLOT_WIDTH, PLOT_HEIGHT);
        for (int i = 0; i < rates.size(); i++) {
            double height = rates.get(i) / top * PLOT_HEIGHT;
            append(
                    svg,
                    "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\" fill=\"#c33\"/>\n",
                    i * step,
                    PLOT_HEIGHT - height,
                    step,
                    height);
        }
        double one = PLOT_HEIGHT - PLOT_HEIGHT / top;
        append(
                svg,
                "<line x1=\"0\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\" stroke=\"#333\"/>\n",
                PLOT_WIDTH,
                one,
                one);
        return svg.append("</svg>\n").toString();
    }

    private static void append(StringBuilder target, String format, Object... values) {
        target.append(String.format(Locale.ROOT, format, values));
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }
}
