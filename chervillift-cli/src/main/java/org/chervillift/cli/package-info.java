/** The operators' command-line tool. */
package org.chervillift.cli;
