/** A stand-in for the platform: tables, objects and the list of VMs, in memory. */
package org.chervillift.standin.platform;
