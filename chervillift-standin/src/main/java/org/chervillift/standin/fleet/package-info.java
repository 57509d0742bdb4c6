/** A fleet of VMs in memory, with the platform's maintenance operations on them. */
package org.chervillift.standin.fleet;
