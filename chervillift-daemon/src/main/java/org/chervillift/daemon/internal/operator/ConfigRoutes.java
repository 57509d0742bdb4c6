package org.chervillift.daemon.internal.operator;

import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.stream.Collectors;
import org.chervillift.api.Checks;
import org.chervillift.api.ChervilliftException;
import org.chervillift.api.ErrorCode;
import org.chervillift.api.config.ConfigHead;
import org.chervillift.core.config.ApplyRequest;
import org.chervillift.core.config.ConfigChange;
import org.chervillift.core.config.ConfigDiff;
import org.chervillift.core.config.ConfigState;
import org.chervillift.daemon.internal.DaemonEvent;
import org.chervillift.daemon.internal.FleetFollower;
import org.chervillift.daemon.internal.OperatorAuthServlet;
import org.chervillift.daemon.internal.config.ConfigStore;
import org.chervillift.http.Answers;
import org.chervillift.http.Stages;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;
import org.chervillift.sheet.SheetError;
import org.chervillift.sheet.SheetReader;
import org.chervillift.sheet.SheetResult;

/**
 * Serves operators' requests to plan and apply sheets and to read the configuration and its
 * history.
 */
public final class ConfigRoutes implements OperatorRoutes {

    private static final String BASE_PARAMETER = "base";
    private static final String CONFIRM_PARAMETER = "confirm";

    private final ConfigStore store;
    private final FleetFollower follower;

    /** Creates the routes. */
    public ConfigRoutes(ConfigStore store, FleetFollower follower) {
        this.store = Checks.notNull("store", store);
        this.follower = Checks.notNull("follower", follower);
    }

    @Override
    public void addTo(RoutingServlet.Builder routes) {
        routes.with(HttpMethod.POST, "/v1/plan", this::plan)
                .with(HttpMethod.POST, "/v1/apply", this::apply)
                .with(HttpMethod.GET, "/v1/config", r -> Answers.json(follower.snapshot().config()))
                .with(HttpMethod.GET, "/v1/history", r -> history());
    }

    private Promise<HttpResponse> plan(HttpRequest request) {
        return request.loadBody(SheetReader.MOST_BYTES + 1)
                .map(body -> readSheet(body.getArray()))
                .then(sheet -> Stages.toPromise(store.read().thenApply(s -> createPlan(s, sheet))))
                .then(plan -> Answers.json(plan));
    }

    private PlanResponse createPlan(ConfigState state, SheetResult.Read sheet) {
        List<String> changes =
                ConfigDiff.between(state.content(), sheet.config()).stream()
                        .map(ConfigChange::describe)
                        .toList();
        List<ConfirmationView> confirmations =
                changes.isEmpty()
                        ? List.of()
                        : store.rules().requiredConfirmations(state, sheet.config()).stream()
                                .map(c -> new ConfirmationView(c.word(), c.reason()))
                                .toList();
        return new PlanResponse(
                state.head().version(),
                changes,
                confirmations,
                sheet.format().charset(),
                String.valueOf(sheet.format().delimiter()));
    }

    private Promise<HttpResponse> apply(HttpRequest request) {
        long baseVersion = baseVersion(request);
        Set<String> confirmations = confirmations(request);
        String operator = OperatorAuthServlet.Operator.of(request).name();
        return request.loadBody(SheetReader.MOST_BYTES + 1)
                .map(body -> readSheet(body.getArray()).config())
                .map(config -> new ApplyRequest(config, baseVersion, confirmations))
                .then(applyRequest -> Stages.toPromise(applyAndRefresh(applyRequest, operator)))
                .then(outcome -> Answers.json(outcome));
    }

    private CompletionStage<ApplyResponse> applyAndRefresh(
            ApplyRequest applyRequest, String operator) {
        return store.apply(applyRequest, operator)
                .thenApply(outcome -> ApplyResponses.toResponse(outcome))
                .thenApply(
                        applied -> {
                            EventLog.log(
                                    DaemonEvent.OPERATOR_REQUEST_EXECUTED,
                                    Field.of("action", "apply"),
                                    Field.of("operator", operator),
                                    Field.of("version", applied.version()));
                            follower.refresh();
                            return applied;
                        });
    }

    private Promise<HttpResponse> history() {
        CompletionStage<List<ConfigHead>> heads =
                store.read()
                        .thenApply(
                                s ->
                                        s.history().stream()
                                                .sorted(
                                                        Comparator.comparingLong(
                                                                        ConfigHead::version)
                                                                .reversed())
                                                .toList());
        return Stages.toPromise(heads).then(h -> Answers.json(h));
    }

    private static SheetResult.Read readSheet(byte[] bytes) {
        return switch (SheetReader.read(bytes)) {
            case SheetResult.Read r -> r;
            case SheetResult.Refused r -> throw badSheet(r);
        };
    }

    private static ChervilliftException badSheet(SheetResult.Refused refused) {
        String errorLines =
                refused.errors().stream().map(SheetError::line).collect(Collectors.joining("\n"));
        int notShown = refused.total() - refused.errors().size();
        String moreLine = notShown > 0 ? "\n" + notShown + " more errors are not shown." : "";
        return new ChervilliftException(ErrorCode.BAD_SHEET, errorLines + moreLine);
    }

    private static long baseVersion(HttpRequest request) {
        try {
            long baseVersion =
                    Long.parseLong(
                            Optional.ofNullable(request.getQueryParameter(BASE_PARAMETER))
                                    .orElse(""));
            return Checks.notNegative(BASE_PARAMETER, baseVersion);
        } catch (IllegalArgumentException e) {
            throw new ChervilliftException(
                    ErrorCode.BAD_REQUEST,
                    "base must be the version that the plan is based on.",
                    e);
        }
    }

    private static Set<String> confirmations(HttpRequest request) {
        String parameter =
                Optional.ofNullable(request.getQueryParameter(CONFIRM_PARAMETER)).orElse("");
        return Arrays.stream(parameter.split(","))
                .filter(w -> !w.isBlank())
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * The response to a plan request, which tells what applying the sheet would change.
     *
     * @param baseVersion the version that the plan is based on
     * @param changes the changes, one line of text each
     * @param confirmations the confirmations that applying the sheet requires
     * @param charset the character encoding that the sheet was read with
     * @param delimiter the character that separates cells
     */
    record PlanResponse(
            long baseVersion,
            List<String> changes,
            List<ConfirmationView> confirmations,
            String charset,
            String delimiter) {}

    /**
     * A confirmation that the operator has to give to apply the sheet.
     *
     * @param word the word to enter
     * @param reason why the confirmation is required
     */
    record ConfirmationView(String word, String reason) {}

    /**
     * The response to an apply request that succeeded.
     *
     * @param version the version that has the content of the sheet
     * @param changed whether this request created the version
     * @param operator the operator who applied the version
     * @param changes the changes made by this request, one line of text each
     * @param sentence the result as one sentence
     */
    record ApplyResponse(
            long version,
            boolean changed,
            String operator,
            List<String> changes,
            String sentence) {}
}
