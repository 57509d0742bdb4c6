/** Checked settings in INI files. */
package org.chervillift.runtime.settings;
