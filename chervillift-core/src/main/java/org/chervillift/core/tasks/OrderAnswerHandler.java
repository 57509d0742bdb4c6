package org.chervillift.core.tasks;

import java.util.function.Consumer;
import org.chervillift.api.tasks.OrderAnswer;

/** Applies the answers of workers to orders. */
final class OrderAnswerHandler {

    private static final long REFUSED_BACK_OFF_MILLIS = 100;
    private static final long UNHEALTHY_BACK_OFF_MILLIS = 1_000;

    private final RunRegistry runs;
    private final RunNumbers numbers;
    private final Consumer<SchedulerEvent> events;

    OrderAnswerHandler(RunRegistry runs, RunNumbers numbers, Consumer<SchedulerEvent> events) {
        this.runs = runs;
        this.numbers = numbers;
        this.events = events;
    }

    void apply(Order order, Run run, OrderAnswer answer, long now) {
        switch (order) {
            case Order.Start start -> startAnswered(run, answer, now);
            case Order.Stop stop -> stopAnswered(run, answer, now);
            case Order.Pace pace -> paceAnswered(run, pace, answer);
        }
    }

    private void startAnswered(Run run, OrderAnswer answer, long now) {
        if (answer == OrderAnswer.DONE) {
            run.task().step().job().recordRun(now);
            run.task().runNumberTaken();
            if (run.phase() != Run.Phase.STOPPING) {
                run.enterPhase(Run.Phase.RUNNING, now);
            }
            return;
        }
        events.accept(
                SchedulerEvent.of(SchedulerEvent.Kind.START_NOT_TAKEN, run, "answer=" + answer));
        switch (answer) {
            case UNKNOWN, FENCED -> {
                if (run.phase() == Run.Phase.STARTING) {
                    run.enterPhase(Run.Phase.UNCERTAIN, now);
                }
            }
            case NOTHING_DONE -> {
                run.worker().backOff(now, UNHEALTHY_BACK_OFF_MILLIS);
                startRefused(run, now);
            }
            case NO_ROOM -> {
                run.worker().backOff(now, REFUSED_BACK_OFF_MILLIS);
                startRefused(run, now);
            }
            case TICKET_REFUSED -> {
                run.task().step().advice().discardTicket(run.worker().id());
                startRefused(run, now);
            }
            case RUN_TOO_OLD -> {
                run.task().skipRunNumbers(numbers.highest());
                run.task().delayUntil(now + REFUSED_BACK_OFF_MILLIS);
                startRefused(run, now);
            }
            default -> {
                run.task().delayUntil(now + REFUSED_BACK_OFF_MILLIS);
                startRefused(run, now);
            }
        }
    }

    private void startRefused(Run run, long now) {
        StepEntry step = run.task().step();
        runs.close(run);
        if (step.spec().gang()) {
            step.runs().forEach(r -> r.enterPhase(Run.Phase.STOPPING, now));
        }
    }

    private void stopAnswered(Run run, OrderAnswer answer, long now) {
        if (answer == OrderAnswer.DONE) {
            run.confirmStopped(now);
        }
    }

    private static void paceAnswered(Run run, Order.Pace pace, OrderAnswer answer) {
        if (answer == OrderAnswer.DONE) {
            run.setPacePercent(pace.percent());
        }
    }
}
