package org.chervillift.cli.internal;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.ParseException;

/** Reads the sheet that a command line names. */
final class SheetFile {

    private SheetFile() {}

    /** Returns the bytes of the file that the first argument names. */
    static byte[] read(CommandLine line) throws ParseException {
        String file = line.getArgList().get(0);
        try {
            return Files.readAllBytes(Path.of(file));
        } catch (IOException e) {
            throw new ParseException("The sheet " + file + " cannot be read.");
        }
    }
}
