package org.chervillift.core.report;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.chervillift.api.ErrorCode;
import org.chervillift.api.config.Objective;
import org.chervillift.api.report.BurnWindow;
import org.chervillift.api.report.ObjectiveReport;
import org.chervillift.api.report.UsageRow;
import org.junit.jupiter.api.Test;

class BurnRateReportsTest {

    private static final Instant NOON = Instant.parse("2026-12-04T12:00:00Z");
    private static final Objective OBJECTIVE = new Objective("proof", 99, 1_000);
    private static final AnswerOutcome GOOD =
            new AnswerOutcome.Answered(200, Duration.ofMillis(1_000));
    private static final AnswerOutcome LATE =
            new AnswerOutcome.Answered(200, Duration.ofMillis(1_001));

    private final UsageRecorder recorder = new UsageRecorder("entry-1", "p1");

    @Test
    void twoPercentBadGivesBurnRateTwoForAOnePercentBudget() {
        for (int i = 0; i < 98; i++) {
            recorder.record(OBJECTIVE, GOOD, NOON);
        }
        recorder.record(OBJECTIVE, LATE, NOON);
        recorder.record(OBJECTIVE, new AnswerOutcome.Refused(ErrorCode.NO_ROOM), NOON);

        ObjectiveReport report = report(NOON.plusSeconds(60)).getFirst();

        assertThat(report.windows())
                .extracting(BurnWindow::minutes)
                .containsExactly(5L, 60L, 360L, 1440L);
        assertThat(report.windows())
                .allSatisfy(w -> assertThat(w.burnRate()).isCloseTo(2, within(1e-9)));
        assertThat(report.budgetLeftPercent()).isCloseTo(-100, within(1e-9));
        assertThat(report.reasons()).isEqualTo(Map.of(ErrorCode.NO_ROOM.number(), 1L));
    }

    @Test
    void callerErrorsDoNotBurnTheBudget() {
        recorder.record(OBJECTIVE, new AnswerOutcome.Refused(ErrorCode.TEAM_LIMIT), NOON);
        recorder.record(OBJECTIVE, GOOD, NOON);

        ObjectiveReport report = report(NOON).getFirst();

        assertThat(report.budgetLeftPercent()).isEqualTo(100);
        assertThat(report.reasons()).containsKey(ErrorCode.TEAM_LIMIT.number());
    }

    @Test
    void countsStayUnsavedUntilTheCurrentRowIsSaved() {
        recorder.record(OBJECTIVE, GOOD, NOON);
        UsageRow given = recorder.unsavedRows().getFirst();
        recorder.record(OBJECTIVE, GOOD, NOON);

        recorder.markSaved(given);
        assertThat(recorder.unsavedRows()).hasSize(1);

        recorder.markSaved(recorder.unsavedRows().getFirst());
        assertThat(recorder.unsavedRows()).isEmpty();
    }

    @Test
    void holdsAtMostOneDayWhileThePlatformIsUnavailable() {
        for (int hour = 0; hour < 60; hour++) {
            recorder.record(OBJECTIVE, GOOD, NOON.plus(Duration.ofHours(hour)));
        }

        assertThat(recorder.unsavedRows()).hasSize(UsageRecorder.MAX_UNSAVED_HOURS);
    }

    @Property(seed = "7", tries = 200)
    void rowsOfSeveralVmsGiveTheSameReportAsOneVm(
            @ForAll @Size(max = 40) List<@IntRange(max = 3) Integer> vms) {
        UsageRecorder one = new UsageRecorder("all", "p");
        List<UsageRecorder> many = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            many.add(new UsageRecorder("entry-" + i, "p"));
        }
        Instant at = NOON.minus(Duration.ofMinutes(50));
        for (int vm : vms) {
            AnswerOutcome outcome = vm % 2 == 0 ? GOOD : LATE;
            one.record(OBJECTIVE, outcome, at);
            many.get(vm).record(OBJECTIVE, outcome, at);
            at = at.plus(Duration.ofMinutes(1));
        }
        List<UsageRow> rows = many.stream().flatMap(r -> r.unsavedRows().stream()).toList();

        assertThat(BurnRateReports.reportAll(List.of(OBJECTIVE), rows, Duration.ofDays(1), NOON))
                .isEqualTo(
                        BurnRateReports.reportAll(
                                List.of(OBJECTIVE), one.unsavedRows(), Duration.ofDays(1), NOON));
    }

    private List<ObjectiveReport> report(Instant now) {
        return BurnRateReports.reportAll(
                List.of(OBJECTIVE), recorder.unsavedRows(), Duration.ofDays(1), now);
    }
}
