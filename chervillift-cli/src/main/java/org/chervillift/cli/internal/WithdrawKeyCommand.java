package org.chervillift.cli.internal;

import io.activej.http.HttpMethod;
import org.apache.commons.cli.CommandLine;
import org.chervillift.http.HttpAnswer;

/** Withdraws a key. */
public final class WithdrawKeyCommand implements Command {

    @Override
    public String name() {
        return "withdraw-key";
    }

    @Override
    public String arguments() {
        return "KEY-ID";
    }

    @Override
    public String summary() {
        return "Withdraws a key by its identifier.";
    }

    @Override
    public Outcome run(CommandLine line, OperatorClient client) {
        String id = line.getArgList().get(0);
        HttpAnswer answer = client.send(HttpMethod.DELETE, "/operator/v1/keys/" + id);
        return answer.isSuccess()
                ? Outcome.done("Key " + id + " is withdrawn.", answer.body())
                : Answered.refused(answer);
    }
}
