package org.chervillift.bench.waves;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import org.chervillift.bench.internal.BenchContext;
import org.chervillift.bench.internal.Benchmark;
import org.chervillift.bench.internal.ConditionBrokenException;

/** Measures a wave over the fleets of today and the planned one, beside simple policies. */
public final class WavesBenchmark implements Benchmark {

    private static final double REPEAT_PART = 0.05;
    private static final int MOST_VMS_ONE_BY_ONE = 200;

    @Override
    public String name() {
        return "waves";
    }

    @Override
    public String summary() {
        return "Roll-out time, availability and cost of maintenance waves; soak for --minutes.";
    }

    @Override
    public void run(BenchContext context) {
        List<RolloutFleet> fleets =
                List.of(
                        RolloutFleet.clydeform(),
                        RolloutFleet.studioraster(),
                        RolloutFleet.planned());
        for (RolloutFleet f : fleets) {
            for (RolloutPolicy p : RolloutPolicy.values()) {
                boolean tooLong =
                        p == RolloutPolicy.ONE_AT_A_TIME && f.vms().size() > MOST_VMS_ONE_BY_ONE;
                if (!tooLong) {
                    measure(context, f, p);
                }
            }
        }
        soak(context);
    }

    private static void measure(BenchContext context, RolloutFleet fleet, RolloutPolicy policy) {
        RolloutResult r = RolloutSimulation.run(fleet, policy, context.seed());
        String prefix = fleet.name() + "_" + policy.name().toLowerCase(Locale.ROOT) + "_";
        context.figure(prefix + "rollout", r.rolloutSeconds(), "s");
        context.figure(prefix + "rollout_lower_bound", r.lowerBoundSeconds(), "s");
        context.figure(prefix + "least_margin", (long) r.leastMargin(), "VMs");
        context.figure(prefix + "below_budget", r.belowBudgetSeconds(), "pool-s");
        context.figure(prefix + "taken_past_budget", (long) r.takenPastBudget(), "VMs");
        context.figure(prefix + "round_cpu", r.roundMicros(), "us");
        context.figure(prefix + "round_allocated", r.roundKib(), "KiB");
        boolean planned = policy == RolloutPolicy.PLANNER || policy == RolloutPolicy.NO_PROBATION;
        if (planned && r.takenPastBudget() > 0) {
            throw new ConditionBrokenException(
                    fleet.name() + ": a VM was taken out past the budget.", context.seed());
        }
    }

    private static void soak(BenchContext context) {
        SoakSettings settings =
                new SoakSettings(
                        context.seed(),
                        Variant.SOUND,
                        REPEAT_PART,
                        Duration.ofMinutes(context.minutes()),
                        Duration.ofHours(12));
        try {
            SoakResult r = WaveSoak.run(settings);
            context.figure("soak_taken_out", r.takeOuts(), "VMs");
            context.figure("soak_reboots", r.reboots(), "reboots");
            context.figure("soak_pauses", r.pauses(), "pauses");
            context.figure("soak_freezes", r.freezes(), "freezes");
            context.figure("soak_commands", r.commands(), "commands");
        } catch (InvariantBroken e) {
            throw new ConditionBrokenException(e.getMessage(), context.seed());
        }
    }
}
