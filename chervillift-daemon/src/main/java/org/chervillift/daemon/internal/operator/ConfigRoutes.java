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

/** Plans and applies sheets, and shows the configuration and its history. */
public final class ConfigRoutes implements OperatorRoutes {

    private static final String BASE = "base";
    private static final String CONFIRM = "confirm";

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
                .then(sheet -> Stages.toPromise(store.read().thenApply(s -> planOf(s, sheet))))
                .then(plan -> Answers.json(plan));
    }

    private Plan planOf(ConfigState state, SheetResult.Read sheet) {
        List<String> lines =
                ConfigDiff.between(state.content(), sheet.config()).stream()
                        .map(ConfigChange::describe)
                        .toList();
        List<ConfirmationView> words =
                lines.isEmpty()
                        ? List.of()
                        : store.rules().requiredConfirmations(state, sheet.config()).stream()
                                .map(c -> new ConfirmationView(c.word(), c.reason()))
                                .toList();
        return new Plan(
                state.head().version(),
                lines,
                words,
                sheet.format().charset(),
                String.valueOf(sheet.format().delimiter()));
    }

    private Promise<HttpResponse> apply(HttpRequest request) {
        long base = baseVersion(request);
        Set<String> words = confirmations(request);
        String operator = OperatorAuthServlet.Operator.of(request).name();
        return request.loadBody(SheetReader.MOST_BYTES + 1)
                .map(body -> readSheet(body.getArray()).config())
                .map(config -> new ApplyRequest(config, base, words))
                .then(wish -> Stages.toPromise(applyAndFollow(wish, operator)))
                .then(outcome -> Answers.json(outcome));
    }

    private CompletionStage<Applied> applyAndFollow(ApplyRequest wish, String operator) {
        return store.apply(wish, operator)
                .thenApply(outcome -> ApplyAnswers.of(outcome))
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
            case SheetResult.Refused r -> throw refused(r);
        };
    }

    private static ChervilliftException refused(SheetResult.Refused refused) {
        String lines =
                refused.errors().stream().map(SheetError::line).collect(Collectors.joining("\n"));
        int more = refused.total() - refused.errors().size();
        String rest = more > 0 ? "\n" + more + " more errors are not shown." : "";
        return new ChervilliftException(ErrorCode.BAD_SHEET, lines + rest);
    }

    private static long baseVersion(HttpRequest request) {
        try {
            long base =
                    Long.parseLong(Optional.ofNullable(request.getQueryParameter(BASE)).orElse(""));
            return Checks.notNegative(BASE, base);
        } catch (IllegalArgumentException e) {
            throw new ChervilliftException(
                    ErrorCode.BAD_REQUEST,
                    "base must be the version that the plan was made on.",
                    e);
        }
    }

    private static Set<String> confirmations(HttpRequest request) {
        String words = Optional.ofNullable(request.getQueryParameter(CONFIRM)).orElse("");
        return Arrays.stream(words.split(","))
                .filter(w -> !w.isBlank())
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Tells an operator what a sheet would change.
     *
     * @param baseVersion the version that it would change
     * @param changes the changes, one plain line each
     * @param confirmations the words that the change needs
     * @param charset the encoding that the sheet was read with
     * @param delimiter the character between two cells
     */
    record Plan(
            long baseVersion,
            List<String> changes,
            List<ConfirmationView> confirmations,
            String charset,
            String delimiter) {}

    /**
     * A word that an operator has to give.
     *
     * @param word the word
     * @param reason why
     */
    record ConfirmationView(String word, String reason) {}

    /**
     * Tells an operator which version is accepted.
     *
     * @param version the version
     * @param changed whether this request made it
     * @param operator who applied it
     * @param changes what it changed
     * @param sentence the same as one plain sentence
     */
    record Applied(
            long version,
            boolean changed,
            String operator,
            List<String> changes,
            String sentence) {}
}
