package org.chervillift.bench.waves;

/**
 * What a roll-out came to.
 *
 * @param rolloutSeconds from the start until the last VM was maintained
 * @param lowerBoundSeconds no roll-out within the budgets can be shorter
 * @param leastMargin the least number of available VMs above the budget, over pools and time
 * @param belowBudgetSeconds pool-seconds below the budget while VMs were out for maintenance
 * @param takenPastBudget VMs that were taken out although the budget had no room
 * @param roundMicros processor time of one planning round of one data centre
 * @param roundKib memory allocated in one planning round of one data centre
 */
record RolloutResult(
        double rolloutSeconds,
        double lowerBoundSeconds,
        int leastMargin,
        double belowBudgetSeconds,
        int takenPastBudget,
        double roundMicros,
        double roundKib) {}
