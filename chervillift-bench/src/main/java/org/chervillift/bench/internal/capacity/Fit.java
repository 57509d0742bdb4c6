package org.chervillift.bench.internal.capacity;

import java.util.List;
import org.chervillift.api.Checks;

/**
 * A straight line through measured points.
 *
 * @param base the value at size 0
 * @param slope the value that each unit of size adds
 * @param worstErrorPercent the largest distance of a point from the line, in percent of the point
 */
public record Fit(double base, double slope, double worstErrorPercent) {

    private static final int LEAST_POINTS = 3;
    private static final double PERCENT = 100;

    /**
     * One measured point.
     *
     * @param size the size that was varied
     * @param value what was measured
     */
    public record Point(double size, double value) {}

    /** Returns the line of least squares through at least three points. */
    public static Fit of(List<Point> points) {
        Checks.that(points.size() >= LEAST_POINTS, "a fit needs three points");
        double meanSize = points.stream().mapToDouble(Point::size).average().orElseThrow();
        double meanValue = points.stream().mapToDouble(Point::value).average().orElseThrow();
        double above = 0;
        double below = 0;
        for (Point p : points) {
            above += (p.size() - meanSize) * (p.value() - meanValue);
            below += (p.size() - meanSize) * (p.size() - meanSize);
        }
        double slope = above / below;
        double base = meanValue - slope * meanSize;
        double worst = 0;
        for (Point p : points) {
            double error = Math.abs(base + slope * p.size() - p.value());
            worst = Math.max(worst, PERCENT * error / p.value());
        }
        return new Fit(base, slope, worst);
    }

    /** Returns the value of the line at a size. */
    public double at(double size) {
        return base + slope * size;
    }
}
