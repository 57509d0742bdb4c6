package org.chervillift.bench.surge;

/**
 * What a surge came to.
 *
 * @param usefulOfRemaining answers within their deadline, as a part of what the slots that remain
 *     can run
 * @param p99Millis the 99th percentile of the time to a useful answer
 * @param givenUpMillis the 99th percentile of the time until a request is given up
 */
public record SurgeResult(double usefulOfRemaining, double p99Millis, double givenUpMillis) {}
