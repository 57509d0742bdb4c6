/** What the system needs of the platform: tables, objects and the list of VMs. */
package org.chervillift.api.platform;
