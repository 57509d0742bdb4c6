package org.chervillift.bench.load;

import java.util.ArrayList;
import java.util.List;
import org.chervillift.standin.upstream.RunLedger.LedgerCounts;

/** Judges what callers were told against what ran at the upstreams. */
final class LoadJudge {

    private LoadJudge() {}

    /** Returns one plain line for each broken condition. */
    static List<String> judge(LoadPlan plan, List<RequestHistory> histories, LedgerCounts counts) {
        List<String> broken = new ArrayList<>();
        for (RequestHistory h : histories) {
            int runs = counts.runsByIdentifier().getOrDefault(h.identifier(), 0);
            judgeOne(h, runs, broken);
        }
        int most = counts.mostRunningByTeam().getOrDefault(plan.team(), 0);
        if (most > plan.limit()) {
            broken.add(
                    "team %s had %d running, its upper limit is %d"
                            .formatted(plan.team(), most, plan.limit()));
        }
        return broken;
    }

    private static void judgeOne(RequestHistory history, int runs, List<String> broken) {
        String id = history.identifier();
        if (runs > 1) {
            broken.add(id + " ran " + runs + " times: " + history.attempts());
        }
        if (history.wasAlwaysToldNotRun() && runs > 0) {
            broken.add(id + " ran, but its caller was told not run: " + history.attempts());
        }
        if (history.isCompleted() && runs == 0) {
            broken.add(id + " never ran, but its caller got an answer: " + history.attempts());
        }
        for (Attempt a : history.attempts()) {
            if (a instanceof Attempt.Completed c && !c.body().contains(id)) {
                broken.add(id + " got another request's answer: " + c.body());
            }
        }
    }
}
