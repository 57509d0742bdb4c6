package org.chervillift.cli.internal;

import io.activej.http.HttpMethod;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.chervillift.http.HttpAnswer;
import org.chervillift.http.Json;

/** Tells at which processes a version is in force, and waits until it is everywhere. */
public final class WatchCommand implements Command {

    private static final String TIMEOUT = "timeout";
    private static final String GONE = "gone";
    private static final String DEFAULT_SECONDS = "14";
    private static final Duration PAUSE = Duration.ofMillis(500);
    private static final double MILLIS_PER_SECOND = 1000.0;

    @Override
    public String name() {
        return "watch";
    }

    @Override
    public String arguments() {
        return "VERSION";
    }

    @Override
    public String summary() {
        return "Waits until a version is in force everywhere, and says where it is not.";
    }

    @Override
    public Options options() {
        Options options = new Options();
        options.addOption(
                Option.builder()
                        .longOpt(TIMEOUT)
                        .hasArg()
                        .desc("SECONDS to wait, " + DEFAULT_SECONDS + " if not given")
                        .build());
        return options;
    }

    @Override
    public boolean changesNothing(CommandLine line) {
        return true;
    }

    @Override
    public Outcome run(CommandLine line, OperatorClient client) throws ParseException {
        long version = number(line.getArgList().get(0), "VERSION");
        long seconds = number(line.getOptionValue(TIMEOUT, DEFAULT_SECONDS), "--timeout");
        long end = System.nanoTime() + Duration.ofSeconds(seconds).toNanos();
        while (true) {
            HttpAnswer answer = client.send(HttpMethod.GET, "/operator/v1/members");
            if (!answer.isSuccess()) {
                return Answered.refused(answer);
            }
            List<Member> members = Json.decode(answer.body(), Members.class).members();
            List<Member> behind = behind(members, version);
            String text = text(version, members, behind);
            if (behind.isEmpty()) {
                return Outcome.done(text, json(version, behind));
            }
            if (System.nanoTime() >= end) {
                return new Outcome(Outcome.NOT_EVERYWHERE, text, json(version, behind));
            }
            client.progress().show(text.lines().findFirst().orElse(""));
            pause();
        }
    }

    private static List<Member> behind(List<Member> members, long version) {
        return members.stream()
                .filter(m -> !m.state().equals(GONE) && m.configVersion() < version)
                .toList();
    }

    private static String text(long version, List<Member> members, List<Member> behind) {
        long counted = members.stream().filter(m -> !m.state().equals(GONE)).count();
        StringBuilder text = new StringBuilder();
        text.append(
                "Version %d is in force at %d of %d processes."
                        .formatted(version, counted - behind.size(), counted));
        for (Member m : behind) {
            String heard =
                    m.heardAgeMillis() < 0
                            ? "never heard"
                            : String.format(
                                    Locale.ROOT,
                                    "last heard %.1f s ago",
                                    m.heardAgeMillis() / MILLIS_PER_SECOND);
            text.append(
                    "%nnot at %s in %s: version %d, %s"
                            .formatted(m.id(), m.dataCentre(), m.configVersion(), heard));
        }
        return text.toString();
    }

    private static String json(long version, List<Member> behind) {
        return Json.encode(new Watched(version, behind.isEmpty(), behind));
    }

    private static long number(String text, String what) throws ParseException {
        if (!text.matches("[0-9]{1,9}")) {
            throw new ParseException(what + " must be a whole number.");
        }
        return Long.parseLong(text);
    }

    private static void pause() {
        try {
            Thread.sleep(PAUSE);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private record Members(List<Member> members) {}

    private record Member(
            String id, String dataCentre, String state, long heardAgeMillis, long configVersion) {}

    private record Watched(long version, boolean everywhere, List<Member> behind) {}
}
