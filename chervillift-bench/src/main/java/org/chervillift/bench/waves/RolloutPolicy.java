package org.chervillift.bench.waves;

/** How VMs are chosen for maintenance. */
enum RolloutPolicy {
    /** The planner of this system. */
    PLANNER,
    /** The planner without probation of returned VMs. */
    NO_PROBATION,
    /** One VM of the whole fleet at a time, whatever else is down. */
    ONE_AT_A_TIME,
    /** A tenth of each pool at a time, at least one VM, whatever else is down. */
    FIXED_TENTH
}
