/** Reads the planners' sheet: bytes in, a configuration or every error out. */
package org.chervillift.sheet;
