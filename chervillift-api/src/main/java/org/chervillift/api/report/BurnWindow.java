package org.chervillift.api.report;

/**
 * How fast an objective's error budget burned in one window.
 *
 * @param minutes the length of the window, in minutes
 * @param total answers that count
 * @param bad answers that did not meet the objective
 * @param burnRate the part of bad answers, divided by the part that the objective allows; 1 uses
 *     the budget up just at the end of its span
 */
public record BurnWindow(long minutes, long total, long bad, double burnRate) {}
