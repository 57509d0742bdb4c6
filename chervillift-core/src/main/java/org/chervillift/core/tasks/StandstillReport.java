package org.chervillift.core.tasks;

import java.util.List;
import java.util.OptionalLong;
import org.chervillift.api.Checks;

/**
 * What waits, what stands still, and why.
 *
 * @param waiting the steps that wait, by pool and reason
 * @param standing the jobs that stand still, by pool and reason
 * @param starts how far the orders to start have come
 */
public record StandstillReport(
        List<WaitingSteps> waiting, List<StandingJobs> standing, StartStatus starts) {
    public StandstillReport {
        waiting = List.copyOf(waiting);
        standing = List.copyOf(standing);
        Checks.notNull("starts", starts);
    }

    /**
     * The steps of a pool that have tasks to start and no run, for one reason.
     *
     * @param pool the pool
     * @param reason why no task of the steps starts
     * @param steps the number of steps
     */
    public record WaitingSteps(String pool, WaitReason reason, int steps) {
        public WaitingSteps {
            Checks.notNull("pool", pool);
            Checks.notNull("reason", reason);
        }
    }

    /**
     * The jobs of a pool that stand still for one reason: nothing of them runs, or a long-running
     * task does not, though a worker has room by what really runs on it.
     *
     * @param pool the pool
     * @param reason why no task starts on the workers that have room
     * @param jobs the number of jobs
     * @param oldestJob the job that has stood still for the longest time
     * @param oldestTask the first task of this job that waits
     * @param oldestMillis how long this job has stood still, in milliseconds
     * @param usableWorkers the number of the pool's workers that accept tasks
     * @param workers the number of the pool's workers
     */
    public record StandingJobs(
            String pool,
            WaitReason reason,
            int jobs,
            String oldestJob,
            String oldestTask,
            long oldestMillis,
            int usableWorkers,
            int workers) {
        public StandingJobs {
            Checks.notNull("pool", pool);
            Checks.notNull("reason", reason);
            Checks.notNull("oldestJob", oldestJob);
            Checks.notNull("oldestTask", oldestTask);
        }
    }

    /**
     * How far the orders to start have come; ages are in milliseconds, and empty if there was none.
     *
     * @param planAge the time since starts were last planned
     * @param orderAge the time since an order to start was last passed on to be sent
     * @param reportAge the time since a worker's report was last applied
     * @param held the number of orders that are held until progress is stored
     * @param unanswered the number of runs whose order to start is sent, but not confirmed
     * @param oldestUnansweredMillis how long the oldest of these runs has been open; 0 if there is
     *     none
     */
    public record StartStatus(
            OptionalLong planAge,
            OptionalLong orderAge,
            OptionalLong reportAge,
            int held,
            int unanswered,
            long oldestUnansweredMillis) {
        public StartStatus {
            Checks.notNull("planAge", planAge);
            Checks.notNull("orderAge", orderAge);
            Checks.notNull("reportAge", reportAge);
        }
    }
}
