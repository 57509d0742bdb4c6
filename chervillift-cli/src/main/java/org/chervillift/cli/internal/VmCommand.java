package org.chervillift.cli.internal;

import io.activej.http.HttpMethod;
import org.apache.commons.cli.CommandLine;
import org.chervillift.api.Checks;

/** Takes one VM out, or lets it back in. */
public final class VmCommand implements Command {

    private final String action;
    private final String summary;

    private VmCommand(String action, String summary) {
        this.action = Checks.notBlank("action", action);
        this.summary = Checks.notBlank("summary", summary);
    }

    /** Returns the command that takes a VM out. */
    public static VmCommand drain() {
        return new VmCommand("drain", "Takes a VM out when its work has ended, within the budget.");
    }

    /** Returns the command that lets a VM back in. */
    public static VmCommand restore() {
        return new VmCommand("restore", "Lets a VM back in that was drained.");
    }

    @Override
    public String name() {
        return action;
    }

    @Override
    public String arguments() {
        return "VM";
    }

    @Override
    public String summary() {
        return summary;
    }

    @Override
    public Outcome run(CommandLine line, OperatorClient client) {
        String vm = line.getArgList().get(0);
        return WaveCommand.command(
                client.send(HttpMethod.POST, "/operator/v1/vms/" + vm + "/" + action));
    }
}
