/** Reads the planners' sheet and works out the difference to the configuration in force. */
package org.chervillift.sheet;
