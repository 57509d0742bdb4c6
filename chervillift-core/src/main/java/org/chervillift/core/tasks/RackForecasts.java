package org.chervillift.core.tasks;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.chervillift.api.SaturatedMath;
import org.chervillift.api.tasks.Resources;
import org.chervillift.core.tasks.placement.RoomForecast;

/** The forecasts of one round, each built when a task first waits for its worker. */
final class RackForecasts {

    private final RunEndEstimator runEnds;
    private final Map<WorkerRecord, RoomForecast> forecasts = new HashMap<>();

    /** No place of a size is expected earlier in a rack, as of the last reservation there. */
    private final Map<RackSize, Long> earliest = new HashMap<>();

    private record RackSize(String pool, String rack, Resources size) {}

    RackForecasts(RunEndEstimator runEnds) {
        this.runEnds = runEnds;
    }

    /**
     * Places that are expected to be free together.
     *
     * @param at when the last of them is expected, in milliseconds
     * @param workers the worker of each place
     */
    record ExpectedPlaces(long at, List<WorkerRecord> workers) {
        ExpectedPlaces {
            workers = List.copyOf(workers);
        }
    }

    /** Forgets the expectations of the last round. */
    void beginRound() {
        forecasts.clear();
        earliest.clear();
    }

    /** Counts a run that was opened in this round. */
    void addRun(Run run, long now) {
        RoomForecast known = forecasts.get(run.worker());
        if (known != null) {
            known.take(run.footprint(), runEnds.endsAt(run, now));
        }
    }

    /**
     * Returns whether a rack may have room for a task of a step before a time. Of many steps that
     * find no room, only the first one looks at each worker.
     */
    boolean mayHaveRoomBefore(
            long latest, StepEntry step, Collection<WorkerRecord> workers, long now) {
        Resources size = step.spec().footprint();
        RackSize key = new RackSize(step.job().policy().pool(), step.spec().dataRack(), size);
        return latest > earliest.computeIfAbsent(key, k -> firstRoom(size, workers, now));
    }

    private long firstRoom(Resources size, Collection<WorkerRecord> workers, long now) {
        return workers.stream()
                .mapToLong(w -> forecastOf(w, now).firstRoomFor(size, now))
                .min()
                .orElse(RoomForecast.NEVER);
    }

    /**
     * Returns the first places for some tasks of a step on workers of one rack.
     *
     * @param latest places that are expected later are not looked for
     */
    Optional<ExpectedPlaces> firstPlaces(
            StepEntry step, int needed, Collection<WorkerRecord> workers, long latest, long now) {
        List<Candidate> candidates =
                workers.stream().map(w -> candidate(step, w, needed, now)).toList();
        List<WorkerRecord> chosen = new ArrayList<>();
        long at = now;
        while (chosen.size() < needed) {
            Optional<Candidate> first =
                    candidates.stream()
                            .filter(c -> c.left > 0)
                            .min(Comparator.comparingLong(c -> c.at(step, now)));
            if (first.isEmpty() || first.get().at(step, now) >= latest) {
                return Optional.empty();
            }
            at = Math.max(at, first.get().at(step, now));
            chosen.add(first.get().worker);
            if (chosen.size() < needed) {
                first.get().take(step);
            }
        }
        return Optional.of(new ExpectedPlaces(at, chosen));
    }

    /** Reserves the places for which the tasks of a step wait. */
    void reserve(StepEntry step, ExpectedPlaces places, long now) {
        long runMillis = runEnds.taskMillis(step);
        earliest.clear();
        for (WorkerRecord worker : places.workers()) {
            long runsFor = Math.round(runMillis * worker.speed().factor());
            forecastOf(worker, now)
                    .take(step.spec().footprint(), SaturatedMath.add(places.at(), runsFor));
        }
    }

    private Candidate candidate(StepEntry step, WorkerRecord worker, int needed, long now) {
        RoomForecast forecast = forecastOf(worker, now);
        return new Candidate(
                worker, needed == 1 ? forecast : forecast.copy(), Places.allowedMore(step, worker));
    }

    private RoomForecast forecastOf(WorkerRecord worker, long now) {
        return forecasts.computeIfAbsent(worker, w -> newForecast(w, now));
    }

    private RoomForecast newForecast(WorkerRecord worker, long now) {
        RoomForecast forecast = new RoomForecast(worker.entry().capacity());
        worker.runs().forEach(r -> forecast.take(r.footprint(), runEnds.endsAt(r, now)));
        return forecast;
    }

    /** A worker, and how many more tasks of the step it may get. */
    private static final class Candidate {

        private static final long UNKNOWN = -1;

        private final WorkerRecord worker;
        private final RoomForecast forecast;
        private int left;
        private long known = UNKNOWN;

        Candidate(WorkerRecord worker, RoomForecast forecast, int left) {
            this.worker = worker;
            this.forecast = forecast;
            this.left = left;
        }

        long at(StepEntry step, long now) {
            if (known == UNKNOWN) {
                known = forecast.firstRoomFor(step.spec().footprint(), now);
            }
            return known;
        }

        void take(StepEntry step) {
            left--;
            known = UNKNOWN;
            forecast.take(step.spec().footprint(), RoomForecast.NEVER);
        }
    }
}
