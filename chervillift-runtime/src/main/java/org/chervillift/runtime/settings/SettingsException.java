package org.chervillift.runtime.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.chervillift.api.ChervilliftException;
import org.chervillift.api.ErrorCode;

/** A settings file has errors; carries all of them. */
public final class SettingsException extends ChervilliftException {

    private static final long serialVersionUID = 1L;

    private final ArrayList<String> lines;

    /** Creates an exception with all errors of a file. */
    public SettingsException(List<SettingError> errors) {
        super(
                ErrorCode.BAD_SETTING,
                errors.stream().map(SettingError::line).collect(Collectors.joining("\n")));
        this.lines = new ArrayList<>(errors.stream().map(SettingError::line).toList());
    }

    /** Returns one plain line an error. */
    public List<String> lines() {
        return List.copyOf(lines);
    }
}
