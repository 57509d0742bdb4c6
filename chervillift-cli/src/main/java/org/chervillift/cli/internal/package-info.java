/** The commands of the operators' tool. */
package org.chervillift.cli.internal;
