package org.chervillift.core.tasks;

import java.util.function.Consumer;
import org.chervillift.api.tasks.OrderAnswer;

/** Takes over what workers answer to orders. */
final class OrderAnswers {

    private static final long REFUSED_PAUSE_MILLIS = 100;
    private static final long UNHEALTHY_PAUSE_MILLIS = 1_000;

    private final RunRegistry runs;
    private final Consumer<BoardNote> notes;

    OrderAnswers(RunRegistry runs, Consumer<BoardNote> notes) {
        this.runs = runs;
        this.notes = notes;
    }

    void take(Order order, Run run, OrderAnswer answer, long now) {
        switch (order) {
            case Order.Start start -> started(run, answer, now);
            case Order.Stop stop -> stopped(run, answer, now);
            case Order.Pace pace -> paced(run, pace, answer);
        }
    }

    private void started(Run run, OrderAnswer answer, long now) {
        if (answer == OrderAnswer.DONE) {
            run.task().step().job().ran();
            if (run.phase() != Run.Phase.STOPPING) {
                run.enter(Run.Phase.RUNNING, now);
            }
            return;
        }
        notes.accept(BoardNote.of(BoardNote.Kind.START_NOT_TAKEN, run, "answer=" + answer));
        switch (answer) {
            case UNKNOWN, FENCED -> {
                if (run.phase() == Run.Phase.STARTING) {
                    run.enter(Run.Phase.UNCERTAIN, now);
                }
            }
            case NOTHING_DONE -> {
                run.worker().avoid(now, UNHEALTHY_PAUSE_MILLIS);
                refused(run, now);
            }
            case NO_ROOM -> {
                run.worker().avoid(now, REFUSED_PAUSE_MILLIS);
                refused(run, now);
            }
            case TICKET_REFUSED -> {
                run.task().step().advice().spoilt(run.worker().id());
                refused(run, now);
            }
            default -> {
                run.task().delayUntil(now + REFUSED_PAUSE_MILLIS);
                refused(run, now);
            }
        }
    }

    private void refused(Run run, long now) {
        StepEntry step = run.task().step();
        runs.close(run);
        if (step.spec().gang()) {
            step.tasks().stream()
                    .flatMap(t -> t.runs().stream())
                    .forEach(r -> r.enter(Run.Phase.STOPPING, now));
        }
    }

    private void stopped(Run run, OrderAnswer answer, long now) {
        if (answer == OrderAnswer.DONE) {
            run.stopConfirmed(now);
        }
    }

    private static void paced(Run run, Order.Pace pace, OrderAnswer answer) {
        if (answer == OrderAnswer.DONE) {
            run.paced(pace.percent());
        }
    }
}
