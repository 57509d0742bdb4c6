package org.chervillift.bench.config;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.chervillift.bench.internal.BenchContext;

/** What one run counted. */
final class SoakFigures {

    private static final int HUNDRED = 100;

    int applies;
    int applied;
    int alreadyInForce;
    int conflicts;
    int unconfirmed;
    int unavailable;
    int withdrawals;
    int withdrawalsRepeated;
    Duration longestWithdrawal = Duration.ZERO;
    Duration longestEverywhere = Duration.ZERO;
    final List<Waiting> waiting = new ArrayList<>();
    private final Share whole = new Share();
    private final Share storeDown = new Share();
    private final Share otherFaults = new Share();

    /** A version that was answered while nothing was cut. */
    record Waiting(long version, Instant answeredAt) {}

    void withdrawalAnswered(Duration took) {
        withdrawals++;
        if (took.compareTo(longestWithdrawal) > 0) {
            longestWithdrawal = took;
        }
    }

    /** Counts which processes take keyed work, by what is broken at the moment. */
    void sample(SoakWorld world) {
        Share share =
                world.network().whole()
                        ? whole
                        : world.network().onlyStoreDown() ? storeDown : otherFaults;
        for (SoakProcess p : world.live()) {
            if (!p.clock().paused()) {
                share.samples++;
                share.fresh += p.fresh() ? 1 : 0;
            }
        }
        noteEverywhere(world);
    }

    /** A version counts as everywhere when all that are awake hold it; cuts end the wait. */
    private void noteEverywhere(SoakWorld world) {
        if (!world.network().whole()) {
            waiting.clear();
        }
        long least =
                world.live().stream()
                        .filter(p -> !p.clock().paused())
                        .mapToLong(SoakProcess::configVersion)
                        .min()
                        .orElse(0);
        for (Iterator<Waiting> i = waiting.iterator(); i.hasNext(); ) {
            Waiting w = i.next();
            if (w.version() <= least) {
                Duration took = Duration.between(w.answeredAt(), world.time().now());
                longestEverywhere =
                        took.compareTo(longestEverywhere) > 0 ? took : longestEverywhere;
                i.remove();
            }
        }
    }

    void print(String prefix, BenchContext context) {
        context.figure(prefix + "applies", applies, "requests");
        context.figure(prefix + "applied", applied, "requests");
        context.figure(prefix + "already_in_force", alreadyInForce, "requests");
        context.figure(prefix + "conflicts", conflicts, "requests");
        context.figure(prefix + "unconfirmed", unconfirmed, "requests");
        context.figure(prefix + "unavailable", unavailable, "requests");
        context.figure(prefix + "withdrawals_answered", withdrawals, "requests");
        context.figure(prefix + "withdrawals_repeated", withdrawalsRepeated, "requests");
        context.figure(prefix + "withdrawal_answer_longest", longestWithdrawal.toMillis(), "ms");
        context.figure(prefix + "config_everywhere_longest", longestEverywhere.toMillis(), "ms");
        context.figure(prefix + "keyed_work_nothing_broken", whole.percent(), "%");
        context.figure(prefix + "keyed_work_store_down", storeDown.percent(), "%");
        context.figure(prefix + "keyed_work_other_faults", otherFaults.percent(), "%");
    }

    /** Part of the samples in which a process takes keyed work. */
    private static final class Share {
        private long samples;
        private long fresh;

        double percent() {
            return samples == 0 ? 0 : (double) HUNDRED * fresh / samples;
        }
    }
}
